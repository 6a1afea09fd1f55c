#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli.h"
#include "control.h"
#include "entry.h"
#include "gateway.h"
#include "http.h"
#include "platform.h"
#include "store.h"

#define CONNECT_TIMEOUT_MS 3000
#define RESPONSE_BYTES_MAX 67108864
#define HEADERS_MAX 5

/*
 * One HTTP call, with an event loop of its own.
 */
struct call {
	struct loop *loop;
	struct cli_reply *reply;
	enum cli_call_result result;
};

static void copy_reply(struct call *call, const struct http_response *response)
{
	struct cli_reply *reply = call->reply;
	const char *version;

	reply->status = response->status;
	version = http_header_value(response->headers, response->nr_headers,
				    "Almondward-Version");
	snprintf(reply->version, sizeof(reply->version), "%s",
		 version ? version : "");
	if (buf_append(&reply->body, response->body, response->body_bytes) ||
	    buf_append(&reply->body, "", 1))
		return;
	reply->body.len_bytes--;
	call->result = CLI_CALL_DONE;
}

static void on_done(void *arg, struct http_conn *conn,
		    const struct http_outcome *outcome)
{
	struct call *call = arg;

	(void)conn;
	call->result = outcome->bytes_sent ? CLI_CALL_NO_RESPONSE :
					     CLI_CALL_NOT_SENT;
	if (outcome->result == HTTP_OK)
		copy_reply(call, &outcome->response);
	loop_stop(call->loop);
}

static size_t set_headers(const struct cli_request *request, char *bearer,
			  size_t bearer_bytes, struct http_header *headers)
{
	size_t nr = 0;

	if (request->token) {
		snprintf(bearer, bearer_bytes, "Bearer %s", request->token);
		headers[nr++] = (struct http_header){ "Authorization", bearer };
	}
	if (request->request_id)
		headers[nr++] =
			(struct http_header){ "Almondward-Operator-Request",
					      request->request_id };
	if (request->if_match)
		headers[nr++] =
			(struct http_header){ "If-Match", request->if_match };
	if (request->content_type)
		headers[nr++] = (struct http_header){ "Content-Type",
						      request->content_type };
	return nr;
}

static enum cli_call_result system_call(void *arg, const char *address,
					const struct cli_request *request,
					struct cli_reply *reply)
{
	struct call call = { .reply = reply, .result = CLI_CALL_NOT_SENT };
	char bearer[SET_SECRET_BYTES_MAX + 8];
	struct http_header headers[HEADERS_MAX + 1];
	struct http_call http_call = {
		.method = request->method,
		.target = request->target,
		.headers = headers,
		.body = (const uint8_t *)request->body,
		.body_bytes = request->body_bytes,
		.response_max_bytes = RESPONSE_BYTES_MAX,
		.timeout_ms = CLI_CALL_TIMEOUT_MS,
		.done = on_done,
		.arg = &call,
	};
	struct clk *clk = clk_create_system();
	struct http_conn *conn = NULL;

	(void)arg;
	if (!clk)
		return CLI_CALL_NOT_SENT;
	headers[HEADERS_MAX] = (struct http_header){ NULL, NULL };
	http_call.nr_headers =
		set_headers(request, bearer, sizeof(bearer), headers);
	call.loop = loop_create(clk);
	if (!call.loop)
		goto out;
	if (http_conn_create(call.loop, address, CONNECT_TIMEOUT_MS, &conn) ||
	    http_conn_call(conn, &http_call))
		goto out;
	loop_run(call.loop);
out:
	if (conn)
		http_conn_destroy(conn);
	if (call.loop)
		loop_destroy(call.loop);
	clk_destroy(clk);
	return call.result;
}

static void system_pause(void *arg, uint32_t pause_ms)
{
	struct timespec left = { .tv_sec = pause_ms / 1000,
				 .tv_nsec = pause_ms % 1000 * 1000000L };

	(void)arg;
	while (nanosleep(&left, &left) && errno == EINTR)
		;
}

/* A connection that is opened only to see whether it is accepted. */
struct probe {
	struct loop *loop;
	bool accepted;
	bool closed;
};

static void probe_opened(void *arg, struct loop_conn *conn)
{
	struct probe *probe = arg;

	(void)conn;
	probe->accepted = true;
	loop_stop(probe->loop);
}

static void probe_data(void *arg, struct loop_conn *conn, const uint8_t *data,
		       size_t len_bytes)
{
	(void)arg;
	(void)conn;
	(void)data;
	(void)len_bytes;
}

static void probe_closed(void *arg, struct loop_conn *conn,
			 enum loop_close reason)
{
	struct probe *probe = arg;

	(void)conn;
	(void)reason;
	probe->closed = true;
	loop_stop(probe->loop);
}

static bool system_accepts(void *arg, const char *address)
{
	static const struct loop_conn_ops ops = { .opened = probe_opened,
						  .data = probe_data,
						  .closed = probe_closed };
	struct probe probe = { .accepted = false };
	struct clk *clk = clk_create_system();
	struct loop_conn *conn = NULL;

	(void)arg;
	if (!clk)
		return false;
	probe.loop = loop_create(clk);
	if (probe.loop && !loop_connect(probe.loop, address, CONNECT_TIMEOUT_MS,
					&ops, &probe, &conn)) {
		loop_run(probe.loop);
		if (!probe.closed)
			loop_conn_close(conn);
	}
	if (probe.loop)
		loop_destroy(probe.loop);
	clk_destroy(clk);
	return probe.accepted;
}

static int system_run(void *arg, const struct set_settings *settings)
{
	(void)arg;
	if (settings->role == AW__ROLE__ROLE_CONTROL)
		return ctl_run(settings, platform_adapter());
	if (settings->cluster.enabled)
		return gw_run(settings, platform_adapter());
	return entry_run(settings);
}

static bool system_create_cluster(void *arg,
				  const struct set_settings *settings,
				  char *error_text, size_t error_text_bytes)
{
	(void)arg;
	return !store_create_cluster(settings->data_dir, settings->name, NULL,
				     error_text, error_text_bytes);
}

const struct cli_env *cli_system_env(void)
{
	static struct cli_env env;

	env.out = stdout;
	env.err = stderr;
	env.call = system_call;
	env.pause = system_pause;
	env.accepts = system_accepts;
	env.run = system_run;
	env.create_cluster = system_create_cluster;
	return &env;
}
