#include "control_cluster.h"

#include <string.h>

#include <utlist.h>

#include "log.h"

struct peer_link *ctl_find_control_link(struct ctl *ctl, const char *name)
{
	struct ctl_link *state;

	DL_FOREACH(ctl->links, state)
	{
		if (peer_link_role(state->link) == AW__ROLE__ROLE_CONTROL &&
		    !strcmp(peer_link_name(state->link), name))
			return state->link;
	}
	return NULL;
}

static void send_raft(void *arg, const char *to, const Aw__RaftMessage *msg)
{
	struct ctl *ctl = arg;
	struct peer_link *link = ctl_find_control_link(ctl, to);
	Aw__Frame frame = AW__FRAME__INIT;

	if (!link)
		return;
	frame.body_case = AW__FRAME__BODY_RAFT;
	frame.raft = (Aw__RaftMessage *)msg;
	if (peer_send(link, &frame))
		ctl_count(ctl, "send_failed", "raft");
}

static void apply_op(struct ctl *ctl, const Aw__LogEntry *entry)
{
	Aw__OpResult *result = NULL;
	enum fleet_error err;
	Aw__Op *op;

	op = aw__op__unpack(NULL, entry->op.len, entry->op.data);
	if (!op) {
		ctl_fail(ctl, "cannot parse a committed entry");
		return;
	}
	err = fleet_apply(ctl->fleet, entry->index, op, &result);
	if (!err && ctl->cluster)
		ctl_cluster_on_applied(ctl, entry, op, result);
	aw__op__free_unpacked(op, NULL);
	if (err) {
		ctl_fail(ctl, err == FLEET_ERR_MEMORY ?
				      "out of memory for a committed entry" :
				      "a committed entry is out of order");
		return;
	}
	ctl_time_applied(ctl);
	ctl_entry_applied(ctl, entry->index, entry->term, result);
	aw__op_result__free_unpacked(result, NULL);
}

static void apply(void *arg, const Aw__LogEntry *entry)
{
	struct ctl *ctl = arg;

	if (ctl->failed)
		return;
	if (entry->kind == AW__ENTRY_KIND__ENTRY_OP && entry->op.len) {
		apply_op(ctl, entry);
		return;
	}
	fleet_skip_entry(ctl->fleet, entry->index);
	ctl_entry_applied(ctl, entry->index, entry->term, NULL);
}

static int save_state(void *arg, struct buf *out)
{
	struct ctl *ctl = arg;

	return fleet_pack(ctl->fleet, out) ? -1 : 0;
}

static int load_state(void *arg, uint64_t last_index, const uint8_t *data,
		      size_t len_bytes)
{
	struct ctl *ctl = arg;

	if (fleet_load(ctl->fleet, data, len_bytes))
		return -1;
	if (fleet_applied_index(ctl->fleet) != last_index) {
		log_error(
			"control",
			"snapshot of index %llu contains the state of index %llu",
			(unsigned long long)last_index,
			(unsigned long long)fleet_applied_index(ctl->fleet));
		return -1;
	}
	ctl_time_applied(ctl);
	if (ctl->cluster) {
		ctl->cluster->plan_index = plan_index(fleet_plan(ctl->fleet));
		zord_reset(ctl->cluster->zone_orders, last_index,
			   clk_now_ms(ctl->clk));
	}
	return 0;
}

/*
 * Only sets a flag: ctl_leads() changes the soft state, outside of calls from
 * raft.
 */
static void leader_changed(void *arg, bool leader)
{
	struct ctl *ctl = arg;

	if (!leader)
		ctl->leadership_lost = true;
}

static int save_handover(void *arg, struct buf *out)
{
	struct ctl *ctl = arg;

	/*
	 * State of an earlier term is not handed over: another leader may have
	 * sent Grants since.
	 */
	if (!ctl->soft || ctl->leadership_lost ||
	    ctl->soft_term != raft_term(ctl->raft))
		return -1;
	return soft_save_handover(ctl->soft, out);
}

static void load_handover(void *arg, uint64_t term, const uint8_t *data,
			  size_t len_bytes)
{
	struct soft_handover *handover = &((struct ctl *)arg)->handover;

	buf_clear(&handover->state);
	handover->term = 0;
	if (!len_bytes || buf_append(&handover->state, data, len_bytes))
		return;
	handover->term = term;
	handover->received_ms = clk_now_ms(((struct ctl *)arg)->clk);
}

const struct raft_ops ctl_raft_ops = {
	.send = send_raft,
	.apply = apply,
	.save_state = save_state,
	.load_state = load_state,
	.leader_changed = leader_changed,
	.save_handover = save_handover,
	.load_handover = load_handover,
};
