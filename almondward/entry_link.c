#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUCKET AW__BUCKET_KIND__BUCKET_LINK
/* Heads and framing, which are not counted one by one. */
#define HEAD_BYTES 512
#define ANSWER_BYTES_FIRST 1024

const char *link_own_region(const struct core *core)
{
	const struct view *view = agent_view(core->agent);
	const char *region = NULL;

	if (view)
		region = cfg_region_of_zone(view_config(view), core->zone);
	return region ? region : "";
}

static struct answer_size *find_size(struct core *core, const char *route)
{
	struct answer_size *size;

	HASH_FIND_STR(core->answer_sizes, route, size);
	return size;
}

uint64_t link_answer_bytes(struct core *core, const char *route)
{
	struct answer_size *size = find_size(core, route);

	return HEAD_BYTES + (size ? size->average_bytes : ANSWER_BYTES_FIRST);
}

void link_note_answer(struct core *core, const char *route, uint64_t bytes)
{
	struct answer_size *size = find_size(core, route);

	if (!size) {
		size = calloc(1, sizeof(*size));
		if (!size)
			return;
		snprintf(size->route, sizeof(size->route), "%s", route);
		size->average_bytes = bytes;
		HASH_ADD_STR(core->answer_sizes, route, size);
	}
	size->average_bytes = (size->average_bytes * 7 + bytes) / 8;
}

static uint64_t request_bytes(const struct request *request)
{
	return HEAD_BYTES + strlen(request->http->target) +
	       request->http->body_bytes;
}

static void names(const struct request *request, const char *region,
		  char out[LINK_BYTES_MAX], char in[LINK_BYTES_MAX])
{
	const char *own = link_own_region(request->core);

	snprintf(out, LINK_BYTES_MAX, "%s>%s", own, region);
	snprintf(in, LINK_BYTES_MAX, "%s>%s", region, own);
}

/*
 * A pair of regions without links in the configuration has no budget.
 */
static bool is_configured(const struct request *request, const char *region)
{
	const Aw__Config *config =
		view_config(agent_view(request->core->agent));
	const char *own = link_own_region(request->core);

	return cfg_link(config, own, region) && cfg_link(config, region, own);
}

bool link_available(struct request *request, const char *region)
{
	struct agent *agent = request->core->agent;
	char out[LINK_BYTES_MAX], in[LINK_BYTES_MAX];

	if (!is_configured(request, region))
		return false;
	names(request, region, out, in);
	return agent_held_tokens(agent, BUCKET, out) >=
		       request_bytes(request) &&
	       agent_held_tokens(agent, BUCKET, in) >=
		       link_answer_bytes(request->core, request->route);
}

void link_charge(struct request *request, const char *region)
{
	struct attempt *attempt = &request->attempt;
	struct agent *agent = request->core->agent;

	names(request, region, attempt->link_out, attempt->link_in);
	attempt->charged_out_bytes = request_bytes(request);
	attempt->charged_in_bytes =
		link_answer_bytes(request->core, request->route);
	agent_charge_tokens(agent, BUCKET, attempt->link_out,
			    attempt->charged_out_bytes);
	agent_charge_tokens(agent, BUCKET, attempt->link_in,
			    attempt->charged_in_bytes);
}

void link_correct(struct request *request, uint64_t answer_bytes)
{
	struct attempt *attempt = &request->attempt;
	struct agent *agent = request->core->agent;
	uint64_t actual_bytes = answer_bytes + HEAD_BYTES;

	if (!*attempt->link_in)
		return;
	if (actual_bytes > attempt->charged_in_bytes)
		agent_charge_tokens(agent, BUCKET, attempt->link_in,
				    actual_bytes - attempt->charged_in_bytes);
	else
		agent_credit_tokens(agent, BUCKET, attempt->link_in,
				    attempt->charged_in_bytes - actual_bytes);
	attempt->link_in[0] = '\0';
}

void link_wait(struct request *request, const char *region)
{
	struct agent *agent = request->core->agent;
	char out[LINK_BYTES_MAX], in[LINK_BYTES_MAX];

	if (!is_configured(request, region))
		return;
	names(request, region, out, in);
	request->core->link_waiting = true;
	agent_set_waiting_tokens(agent, BUCKET, out, request_bytes(request));
	agent_set_waiting_tokens(
		agent, BUCKET, in,
		link_answer_bytes(request->core, request->route));
}

void link_stop_waiting(struct core *core)
{
	const struct view *view = agent_view(core->agent);
	const char *own = link_own_region(core);
	char name[LINK_BYTES_MAX];
	const Aw__Config *config;
	size_t i;

	if (!view || !core->link_waiting)
		return;
	core->link_waiting = false;
	config = view_config(view);
	for (i = 0; i < config->n_links; i++) {
		const Aw__Link *link = config->links[i];

		if (strcmp(link->from_region, own) != 0 &&
		    strcmp(link->to_region, own) != 0)
			continue;
		snprintf(name, sizeof(name), "%s>%s", link->from_region,
			 link->to_region);
		agent_set_waiting_tokens(core->agent, BUCKET, name, 0);
	}
}
