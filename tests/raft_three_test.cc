// Tests consensus among three instances under random schedules of faults: at
// most one leader, no committed entry lost or changed, and all instances are
// voters with the same log some time after the faults have ended.
#include "raft_schedules.h"

TEST(RaftThree, SurvivesSeededFaultSchedules)
{
	run_schedules(3, 1000);
}
