#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINK_BUCKET AW__BUCKET_KIND__BUCKET_LINK
/* Estimated size of header fields and framing, which are not measured. */
#define HEAD_BYTES 512
/* Estimated body size until the first response of a route. */
#define RESPONSE_BYTES_INITIAL 1024

const char *link_own_region(const struct core *core)
{
	const struct view *view = agent_view(core->agent);
	const char *region = NULL;

	if (view)
		region = cfg_region_of_zone(view_config(view), core->zone);
	return region ? region : "";
}

static struct response_size *find_response_size(struct core *core,
						const char *route)
{
	struct response_size *size;

	HASH_FIND_STR(core->response_sizes, route, size);
	return size;
}

uint64_t link_response_bytes(struct core *core, const char *route)
{
	struct response_size *size = find_response_size(core, route);

	return HEAD_BYTES +
	       (size ? size->average_bytes : RESPONSE_BYTES_INITIAL);
}

void link_record_response(struct core *core, const char *route, uint64_t bytes)
{
	struct response_size *size = find_response_size(core, route);

	if (!size) {
		size = calloc(1, sizeof(*size));
		if (!size)
			return;
		snprintf(size->route, sizeof(size->route), "%s", route);
		size->average_bytes = bytes;
		HASH_ADD_STR(core->response_sizes, route, size);
	}
	size->average_bytes = (size->average_bytes * 7 + bytes) / 8;
}

static uint64_t request_bytes(const struct request *request)
{
	return HEAD_BYTES + strlen(request->http->target) +
	       request->http->body_bytes;
}

static void link_names(const struct request *request, const char *region,
		       char out[LINK_NAME_BYTES_MAX],
		       char in[LINK_NAME_BYTES_MAX])
{
	const char *own_region = link_own_region(request->core);

	snprintf(out, LINK_NAME_BYTES_MAX, "%s>%s", own_region, region);
	snprintf(in, LINK_NAME_BYTES_MAX, "%s>%s", region, own_region);
}

/*
 * Returns true if links to the region and back are configured; without them no
 * traffic between the two regions is allowed.
 */
static bool links_configured(const struct request *request, const char *region)
{
	const Aw__Config *config =
		view_config(agent_view(request->core->agent));
	const char *own_region = link_own_region(request->core);

	return cfg_link(config, own_region, region) &&
	       cfg_link(config, region, own_region);
}

bool link_tokens_available(struct request *request, const char *region)
{
	struct agent *agent = request->core->agent;
	char out[LINK_NAME_BYTES_MAX], in[LINK_NAME_BYTES_MAX];

	if (!links_configured(request, region))
		return false;
	link_names(request, region, out, in);
	return agent_held_tokens(agent, LINK_BUCKET, out) >=
		       request_bytes(request) &&
	       agent_held_tokens(agent, LINK_BUCKET, in) >=
		       link_response_bytes(request->core, request->route);
}

void link_charge(struct request *request, const char *region)
{
	struct attempt *attempt = &request->attempt;
	struct agent *agent = request->core->agent;

	link_names(request, region, attempt->link_out, attempt->link_in);
	attempt->charged_out_bytes = request_bytes(request);
	attempt->charged_in_bytes =
		link_response_bytes(request->core, request->route);
	agent_charge_tokens(agent, LINK_BUCKET, attempt->link_out,
			    attempt->charged_out_bytes);
	agent_charge_tokens(agent, LINK_BUCKET, attempt->link_in,
			    attempt->charged_in_bytes);
}

void link_correct_charge(struct request *request, uint64_t response_bytes)
{
	struct attempt *attempt = &request->attempt;
	struct agent *agent = request->core->agent;
	uint64_t actual_bytes = response_bytes + HEAD_BYTES;

	if (!*attempt->link_in)
		return;
	if (actual_bytes > attempt->charged_in_bytes)
		agent_charge_tokens(agent, LINK_BUCKET, attempt->link_in,
				    actual_bytes - attempt->charged_in_bytes);
	else
		agent_credit_tokens(agent, LINK_BUCKET, attempt->link_in,
				    attempt->charged_in_bytes - actual_bytes);
	attempt->link_in[0] = '\0';
}

void link_request_tokens(struct request *request, const char *region)
{
	struct agent *agent = request->core->agent;
	char out[LINK_NAME_BYTES_MAX], in[LINK_NAME_BYTES_MAX];

	if (!links_configured(request, region))
		return;
	link_names(request, region, out, in);
	request->core->link_tokens_requested = true;
	agent_set_waiting_tokens(agent, LINK_BUCKET, out,
				 request_bytes(request));
	agent_set_waiting_tokens(
		agent, LINK_BUCKET, in,
		link_response_bytes(request->core, request->route));
}

void link_cancel_token_requests(struct core *core)
{
	const struct view *view = agent_view(core->agent);
	const char *own_region = link_own_region(core);
	char name[LINK_NAME_BYTES_MAX];
	const Aw__Config *config;
	size_t i;

	if (!view || !core->link_tokens_requested)
		return;
	core->link_tokens_requested = false;
	config = view_config(view);
	for (i = 0; i < config->n_links; i++) {
		const Aw__Link *link = config->links[i];

		if (strcmp(link->from_region, own_region) != 0 &&
		    strcmp(link->to_region, own_region) != 0)
			continue;
		snprintf(name, sizeof(name), "%s>%s", link->from_region,
			 link->to_region);
		agent_set_waiting_tokens(core->agent, LINK_BUCKET, name, 0);
	}
}
