/*
 * soft: the state that the leader owns and that is lost with it: tokens, slots,
 * registry, quarantine, and the progress of drains. Decisions only.
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
 * Until then a new leader sends no table: it would lack the instances and
 * servers of which it has not heard. Two Reports and their way.
 */
#define SOFT_TABLE_WAIT_MS 1500

/* State handed over is used only by a leader that begins within this time. */
#define SOFT_HANDOVER_MS 1000

struct soft;

/* State of the leader before, received in a planned change of leader. */
struct soft_handover {
	uint64_t term; /* of the leader that stepped down, 0: none */
	uint64_t received_ms;
	struct buf state;
};

/*
 * The replicated state that decisions need; valid during a call.
 */
struct soft_view {
	const Aw__Config *config;
	const Aw__Drain *const *drains;
	size_t nr_drains;
	uint64_t state_version;
	Aw__FleetState *state; /* what entry instances get */
};

/*
 * To be created when leadership begins. Table versions grow from
 * first_version. counters may be NULL.
 */
struct soft *soft_create(struct clk *clk, uint64_t term, uint64_t first_version,
			 struct ctr_set *counters);
void soft_destroy(struct soft *soft);

/*
 * Packs what the next leader can take over. Returns -1 when memory is
 * exhausted.
 */
int soft_save_handover(struct soft *soft, struct buf *out);

/*
 * Takes over the state of the term right before, if it is not too old; to be
 * called right after soft_create(). Otherwise, and when the state cannot be
 * read, soft starts as after a crash of the leader. Returns -1 when memory is
 * exhausted.
 */
int soft_load_handover(struct soft *soft, const struct soft_handover *from);

uint64_t soft_table_version(const struct soft *soft);

/*
 * Applies a change of configuration or drains. Returns -1 when memory is
 * exhausted; the soft state must then not be used any more.
 */
int soft_configure(struct soft *soft, const struct soft_view *view);

/*
 * Answers a Report. *grant is NULL when the Report must be ignored. Its parts
 * belong to soft, the view and the report, and are valid until the next call.
 */
int soft_handle_report(struct soft *soft, const struct soft_view *view,
		       const Aw__Report *report, const Aw__Grant **grant);

struct soft_step {
	const char *name; /* of the drain, as in the view */
	uint32_t share_permille;
};

/*
 * The steps of drains that are due. To be called DRAIN_STEP_MS after all
 * earlier steps were applied, or later.
 */
int soft_due_steps(struct soft *soft, const struct soft_view *view,
		   struct soft_step *steps, size_t max, size_t *nr);

/*
 * Whether the rest carries a planned drain; otherwise writes the figures.
 */
bool soft_can_drain(struct soft *soft, const struct soft_view *view,
		    const Aw__Drain *drain, char *text, size_t text_bytes);

/*
 * Parts, for status.
 */
struct reg *soft_registry(struct soft *soft);
struct quar *soft_quarantine(struct soft *soft);
struct alloc_slots *soft_slots(struct soft *soft);

#ifdef __cplusplus
}
#endif

#endif
