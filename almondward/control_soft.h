/*
 * soft: the state that only the leader has and that is lost when it fails:
 * tokens, slots, registry, quarantine and the progress of drains. Decisions
 * only, no I/O.
 */
#ifndef CONTROL_SOFT_H
#define CONTROL_SOFT_H

#include "alloc.h"
#include "buf.h"
#include "control_drain.h"
#include "counter.h"
#include "quarantine.h"
#include "registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * For this long a new leader sends no table, because it would lack the
 * instances and servers that have not reported yet. Covers two Report intervals
 * and the network delay.
 */
#define SOFT_TABLE_WAIT_MS 1500

/*
 * A new leader uses handed-over state only if it begins within this time after
 * receiving it.
 */
#define SOFT_HANDOVER_MS 1000

struct soft;

/* State of the previous leader, received in a planned change of leader. */
struct soft_handover {
	uint64_t term; /* of the leader that stepped down, 0: none */
	uint64_t received_ms;
	struct buf state;
};

/*
 * The replicated state that decisions are based on; valid during one call.
 */
struct soft_view {
	const Aw__Config *config;
	const Aw__Drain *const *drains;
	size_t nr_drains;
	uint64_t state_version;
	Aw__FleetState *state; /* sent to entry instances */
};

/*
 * Creates the soft state of a new leader. Table versions grow from
 * first_version. counters may be NULL. Returns NULL when memory is exhausted.
 */
struct soft *soft_create(struct clk *clk, uint64_t term, uint64_t first_version,
			 struct ctr_set *counters);
void soft_destroy(struct soft *soft);

/*
 * Packs the state that the next leader can take over. Returns -1 when memory is
 * exhausted.
 */
int soft_save_handover(struct soft *soft, struct buf *out);

/*
 * Takes over the state of the leader of the directly preceding term, if it is
 * not too old. Call right after soft_create(). If there is no such state, or it
 * cannot be parsed, soft starts as after a crash of the leader. Returns -1 when
 * memory is exhausted.
 */
int soft_load_handover(struct soft *soft, const struct soft_handover *from);

/*
 * Version of the table of instances, servers and quarantines.
 */
uint64_t soft_table_version(const struct soft *soft);

/*
 * Applies a change of the configuration or the drains. Returns -1 when memory
 * is exhausted; the soft state must not be used after that.
 */
int soft_configure(struct soft *soft, const struct soft_view *view);

/*
 * Processes a Report and builds the Grant for it. *grant is NULL if the Report
 * must be ignored. Its parts belong to soft, the view and the report and are
 * valid until the next call. Returns -1 when memory is exhausted.
 */
int soft_handle_report(struct soft *soft, const struct soft_view *view,
		       const Aw__Report *report, const Aw__Grant **grant);

/* A step to propose: the new share of a drain. */
struct soft_step {
	const char *name; /* of the drain, as in the view */
	uint32_t share_permille;
};

/*
 * Fills in up to max drain steps that are due. Call at least DRAIN_STEP_MS
 * after all earlier steps were applied. Returns -1 when memory is exhausted.
 */
int soft_due_steps(struct soft *soft, const struct soft_view *view,
		   struct soft_step *steps, size_t max, size_t *nr);

/*
 * Returns whether the remaining slots can take the load once a planned drain is
 * complete. If not, writes the figures to text.
 */
bool soft_can_drain(struct soft *soft, const struct soft_view *view,
		    const Aw__Drain *drain, char *text, size_t text_bytes);

/*
 * Parts of the soft state, for the status and the quarantine records.
 */
struct reg *soft_registry(struct soft *soft);
struct quar *soft_quarantine(struct soft *soft);
struct alloc_slots *soft_slots(struct soft *soft);

#ifdef __cplusplus
}
#endif

#endif
