// Tests consensus among five instances under random schedules of faults: at
// most one leader, no committed entry lost or changed, and all instances are
// voters with the same log some time after the faults have ended.
#include "raft_schedules.h"

TEST(RaftFive, SurvivesSeededFaultSchedules)
{
	run_schedules(5, 600);
}
