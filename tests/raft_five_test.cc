// Guards consensus among five instances against schedules of faults: at most one
// leader, no accepted entry lost or changed, and whole again afterwards.
#include "raft_schedules.h"

TEST(RaftFive, SurvivesSeededSchedules)
{
	run_schedules(5, 600);
}
