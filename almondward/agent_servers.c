#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct agent_server *agent_server(struct agent *agent, const char *address)
{
	struct agent_server *server;

	HASH_FIND_STR(agent->servers, address, server);
	return server;
}

struct agent_server *agent_next_server(struct agent *agent,
				       struct agent_server *previous)
{
	return previous ? previous->hh.next : agent->servers;
}

static struct agent_server *add_server(struct agent *agent, const char *address)
{
	struct agent_server *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	snprintf(server->address, sizeof(server->address), "%s", address);
	HASH_ADD_STR(agent->servers, address, server);
	return server;
}

static void begin_incarnation(struct agent *agent, struct agent_server *server,
			      uint64_t incarnation)
{
	server->incarnation = incarnation;
	server->leaving = false;
	server->silent = false;
	memset(&server->stats, 0, sizeof(server->stats));
	slots_drop_server(agent, server->address, incarnation);
}

static void set_leaving(struct agent *agent, struct agent_server *server)
{
	if (server->leaving)
		return;
	server->leaving = true;
	server->left_ms = clk_now_ms(agent->clk);
}

static void copy_announcement(struct agent_server *server,
			      const struct agent_announcement *from)
{
	snprintf(server->upstream, sizeof(server->upstream), "%s",
		 from->upstream);
	snprintf(server->zone, sizeof(server->zone), "%s", from->zone);
	server->slots = from->slots;
	server->sequence = from->sequence;
}

static void mark_unconfirmed(struct agent_server *server)
{
	server->unconfirmed = true;
	server->reported_sequence = 0;
}

enum agent_announce agent_announce(struct agent *agent,
				   const struct agent_announcement *from)
{
	struct agent_server *server = agent_server(agent, from->address);
	bool is_new = !server;

	if (server && from->incarnation < server->incarnation)
		return AGENT_STALE;
	if (!server) {
		server = add_server(agent, from->address);
		if (!server)
			return AGENT_NO_MEMORY;
		begin_incarnation(agent, server, from->incarnation);
	} else if (from->incarnation > server->incarnation) {
		begin_incarnation(agent, server, from->incarnation);
		is_new = true;
	} else if (server->leaving) {
		return AGENT_LEFT;
	} else if (from->sequence < server->sequence) {
		return AGENT_STALE;
	}
	copy_announcement(server, from);
	server->announced_ms = clk_now_ms(agent->clk);
	server->silent = false;
	mark_unconfirmed(server);
	if (is_new)
		agent_report_soon(agent);
	return AGENT_ANNOUNCED;
}

enum agent_announce agent_leave(struct agent *agent, const char *address,
				uint64_t incarnation, uint64_t sequence)
{
	struct agent_server *server = agent_server(agent, address);

	if (!server) {
		/* Another instance may report an older announcement later. */
		server = add_server(agent, address);
		if (!server)
			return AGENT_NO_MEMORY;
		begin_incarnation(agent, server, incarnation);
	}
	if (incarnation < server->incarnation)
		return AGENT_STALE;
	if (incarnation > server->incarnation)
		begin_incarnation(agent, server, incarnation);
	if (server->leaving)
		return AGENT_ANNOUNCED;
	if (sequence > server->sequence)
		server->sequence = sequence;
	set_leaving(agent, server);
	mark_unconfirmed(server);
	agent_report_soon(agent);
	return AGENT_ANNOUNCED;
}

/*
 * Merges a server of the leader's table. For each address the higher
 * (incarnation, sequence) wins, and a departure is final for its incarnation,
 * whichever instance received it first.
 */
static void merge_server(struct agent *agent, const Aw__Server *from)
{
	struct agent_server *server = agent_server(agent, from->address);
	uint64_t now_ms = clk_now_ms(agent->clk), announced_ms;
	struct agent_announcement fields = {
		.upstream = from->upstream,
		.zone = from->zone,
		.slots = from->slots,
		.sequence = from->sequence,
	};

	if (!server) {
		server = add_server(agent, from->address);
		if (!server)
			return;
		begin_incarnation(agent, server, from->incarnation);
	}
	server->in_table = true;
	if (from->incarnation < server->incarnation)
		return;
	if (from->incarnation > server->incarnation) {
		begin_incarnation(agent, server, from->incarnation);
		server->unconfirmed = false;
		server->announced_ms = 0;
		copy_announcement(server, &fields);
	} else if (from->sequence >= server->sequence) {
		copy_announcement(server, &fields);
	}
	if (from->state == AW__SERVER_STATE__SERVER_LEAVING)
		set_leaving(agent, server);
	announced_ms = now_ms > from->age_ms ? now_ms - from->age_ms : 0;
	if (announced_ms > server->announced_ms)
		server->announced_ms = announced_ms;
	server->silent = from->state == AW__SERVER_STATE__SERVER_SILENT &&
			 server->announced_ms + SERVER_SILENT_MS <= now_ms;
}

void servers_apply(struct agent *agent, const Aw__Grant *grant)
{
	struct agent_server *server, *next;
	size_t i;

	for (i = 0; i < grant->n_servers; i++)
		merge_server(agent, grant->servers[i]);
	HASH_ITER(hh, agent->servers, server, next)
	{
		/*
		 * A new leader's first table lacks servers that only this
		 * instance knows, so none is removed before all have been
		 * reported.
		 */
		if (!server->in_table && !server->unconfirmed &&
		    !server->leaving && !agent->whole_table_due) {
			slots_drop_server(agent, server->address, UINT64_MAX);
			HASH_DEL(agent->servers, server);
			free(server);
			continue;
		}
		server->in_table = false;
	}
}

void servers_confirm(struct agent *agent, uint64_t sequence)
{
	struct agent_server *server, *next;

	HASH_ITER(hh, agent->servers, server, next)
	{
		if (server->unconfirmed && server->reported_sequence &&
		    server->reported_sequence <= sequence)
			server->unconfirmed = false;
	}
}

void servers_cleanup(struct agent *agent)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct agent_server *server, *next;

	HASH_ITER(hh, agent->servers, server, next)
	{
		if (!server->leaving || server->left_ms + TOMBSTONE_MS > now_ms)
			continue;
		slots_drop_server(agent, server->address, UINT64_MAX);
		HASH_DEL(agent->servers, server);
		free(server);
	}
}

void servers_destroy(struct agent *agent)
{
	struct agent_server *server, *next;

	HASH_ITER(hh, agent->servers, server, next)
	{
		HASH_DEL(agent->servers, server);
		free(server);
	}
}
