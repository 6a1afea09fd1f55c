// Guards consensus among three instances against schedules of faults: at most one
// leader, no accepted entry lost or changed, and whole again afterwards.
#include "raft_schedules.h"

TEST(RaftThree, SurvivesSeededSchedules)
{
	run_schedules(3, 1000);
}
