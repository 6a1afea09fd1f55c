/*
 * testserver: a simulated backend server for the demo, the process tests and
 * the load generator. It announces itself, executes each request for a given
 * time in one of a given number of slots, and injects faults.
 *
 * The query of the request target selects the fault ("?fault=NAME"), so that a
 * test can inject it through an entry instance:
 *   crash    the process exits at once, as if the request triggered a bug
 *   silent   the server never responds
 *   crossed  the response echoes the id of another request
 *   noecho   the response echoes no id
 *   shed     the response is 503 with Retry-After
 *   slow     the request takes ten times as long
 * "answer_bytes=N" sets the size of the response body.
 */
#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cjson/cJSON.h>
#include <sodium.h>
#include <uthash.h>

#include "buf.h"
#include "clock.h"
#include "http.h"
#include "log.h"
#include "loop.h"

#define LOG_COMPONENT "testserver"
#define ENTRIES_MAX 32
#define ANNOUNCE_MS 1000
#define ANNOUNCE_TIMEOUT_MS 900
#define LEAVE_LINGER_MS 4000 /* from the departure to the exit */
#define DELAYS_MAX 32
#define BODY_BYTES_MAX (64 << 20)
#define ANSWER_BYTES_MAX (32 << 20)

/*
 * Simulated round-trip time to one entry instance. Each response to that
 * instance is delayed by it.
 */
struct delay {
	const char *instance; /* ends after name_bytes */
	size_t name_bytes;
	uint32_t rtt_ms;
};

struct options {
	const char *listen;
	const char *advertise; /* announced address, default: bound address */
	const char *upstream;
	const char *zone;
	const char *token;
	const char *entries[ENTRIES_MAX];
	size_t nr_entries;
	uint32_t slots;
	uint32_t work_ms;
	uint32_t jitter_permille; /* largest random addition to work_ms */
	uint32_t answer_bytes;
	struct delay delays[DELAYS_MAX];
	size_t nr_delays;
};

/*
 * Number of executed requests with one idempotency key.
 */
struct run_count {
	char key[160];
	uint64_t runs;
	UT_hash_handle hh;
};

enum fault {
	FAULT_NONE,
	FAULT_CRASH,
	FAULT_SILENT,
	FAULT_CROSSED,
	FAULT_NOECHO,
	FAULT_SHED,
	FAULT_SLOW
};

/*
 * A request being executed, or whose response is delayed.
 */
struct job {
	struct server *server;
	struct http_exchange *exchange; /* NULL after response or abort */
	struct loop_timer *timer;
	char request_id[128]; /* echoed in the response */
	char customer[64];
	enum fault fault;
	size_t answer_bytes;
	size_t body_bytes;
	char body_hash[2 * crypto_generichash_BYTES + 1];
	bool has_slot;
	struct job *next;
};

struct server {
	struct options options;
	struct loop *loop;
	struct clk *clk;
	struct http_server *http;
	struct loop_timer *announce_timer;
	struct loop_timer *exit_timer;
	struct http_conn *announce_conn;
	size_t next_entry;
	char address[64];
	uint64_t incarnation;
	uint64_t sequence;
	bool leaving;
	char announce_body[512];
	struct http_header announce_headers[2];
	char authorization[300];
	uint32_t busy; /* slots in use */
	uint64_t nr_requests;
	uint64_t nr_overrun; /* requests received while all slots were in use */
	uint64_t nr_cancelled;
	uint64_t nr_key_seen; /* requests that contained a caller's key */
	uint64_t nr_after_leave;
	struct run_count *runs;
	struct job *jobs;
};

static const char *const fault_names[] = {
	[FAULT_NONE] = "none",	   [FAULT_CRASH] = "crash",
	[FAULT_SILENT] = "silent", [FAULT_CROSSED] = "crossed",
	[FAULT_NOECHO] = "noecho", [FAULT_SHED] = "shed",
	[FAULT_SLOW] = "slow",
};

static const char *query_value(const char *target, const char *name)
{
	size_t len = strlen(name);
	const char *pos = strchr(target, '?');

	while (pos) {
		pos++;
		if (!strncmp(pos, name, len) && pos[len] == '=')
			return pos + len + 1;
		pos = strchr(pos, '&');
	}
	return NULL;
}

static enum fault parse_fault(const char *target)
{
	const char *value = query_value(target, "fault");
	size_t i, len;

	if (!value)
		return FAULT_NONE;
	len = strcspn(value, "&");
	for (i = 0; i < sizeof(fault_names) / sizeof(*fault_names); i++) {
		if (strlen(fault_names[i]) == len &&
		    !strncmp(value, fault_names[i], len))
			return (enum fault)i;
	}
	return FAULT_NONE;
}

/*
 * Counts a request that contains the prefix of a caller's key anywhere.
 */
static void count_key_leak(struct server *server,
			   const struct http_request *req)
{
	size_t i;
	bool seen = strstr(req->target, "aw1_") != NULL;

	for (i = 0; i < req->nr_headers; i++)
		seen = seen || strstr(req->headers[i].value, "aw1_");
	if (req->body_bytes)
		seen = seen || memmem(req->body, req->body_bytes, "aw1_", 4);
	if (seen)
		server->nr_key_seen++;
}

static void count_run(struct server *server, const struct http_request *req)
{
	const char *key = http_header_value(req->headers, req->nr_headers,
					    "Almondward-Idempotency-Key");
	struct run_count *run;

	if (!key)
		return;
	HASH_FIND_STR(server->runs, key, run);
	if (!run) {
		run = calloc(1, sizeof(*run));
		if (!run)
			return;
		snprintf(run->key, sizeof(run->key), "%s", key);
		HASH_ADD_STR(server->runs, key, run);
	}
	run->runs++;
}

static void unlink_job(struct job *job)
{
	struct job **pos = &job->server->jobs;

	while (*pos && *pos != job)
		pos = &(*pos)->next;
	if (*pos)
		*pos = job->next;
}

static void job_free(struct job *job)
{
	unlink_job(job);
	if (job->has_slot)
		job->server->busy--;
	loop_timer_destroy(job->timer);
	free(job);
}

static void job_aborted(void *arg)
{
	struct job *job = arg;

	/* Execution continues until it is cancelled, as in a real server. */
	job->exchange = NULL;
	if (job->fault == FAULT_SILENT)
		job_free(job);
}

static void append_filler(struct buf *body, size_t len_bytes)
{
	if (buf_reserve(body, len_bytes))
		return;
	memset(body->data + body->len_bytes, 'x', len_bytes);
	body->len_bytes += len_bytes;
}

static void respond_job(struct job *job)
{
	struct server *server = job->server;
	const char *request_id = job->request_id;
	struct http_header headers[5];
	struct http_response response = { .status = 200, .headers = headers };
	struct buf body = BUF_INIT;

	if (job->fault == FAULT_CROSSED)
		request_id = "another-request.1";
	headers[response.nr_headers++] =
		(struct http_header){ "Content-Type", "application/json" };
	if (job->fault != FAULT_NOECHO)
		headers[response.nr_headers++] =
			(struct http_header){ "Almondward-Request",
					      request_id };
	if (job->fault == FAULT_SHED) {
		response.status = 503;
		headers[response.nr_headers++] =
			(struct http_header){ "Retry-After", "1" };
	}
	buf_printf(
		&body,
		"{\"server\":\"%s\",\"upstream\":\"%s\",\"zone\":\"%s\","
		"\"customer\":\"%s\",\"body_bytes\":%zu,\"body_hash\":\"%s\"",
		server->address, server->options.upstream, server->options.zone,
		job->customer, job->body_bytes, job->body_hash);
	if (job->answer_bytes > body.len_bytes + 16) {
		buf_printf(&body, ",\"filler\":\"");
		append_filler(&body, job->answer_bytes - body.len_bytes - 2);
		buf_printf(&body, "\"");
	}
	buf_printf(&body, "}");
	response.body = body.data;
	response.body_bytes = body.len_bytes;
	http_respond(job->exchange, &response);
	job->exchange = NULL;
	buf_release(&body);
}

/*
 * Returns the simulated round-trip time to the entry instance that sent the
 * request. A request id starts with the name of that instance and '-'.
 */
static uint32_t rtt_ms(const struct options *options, const char *request_id)
{
	size_t i;

	for (i = 0; i < options->nr_delays; i++) {
		const struct delay *delay = &options->delays[i];

		if (!strncmp(request_id, delay->instance, delay->name_bytes) &&
		    request_id[delay->name_bytes] == '-')
			return delay->rtt_ms;
	}
	return 0;
}

static void job_done(void *arg)
{
	struct job *job = arg;
	uint32_t delay_ms;

	if (job->has_slot) {
		job->has_slot = false;
		job->server->busy--;
		delay_ms = rtt_ms(&job->server->options, job->request_id);
		if (delay_ms) {
			loop_timer_set(job->timer, delay_ms);
			return;
		}
	}
	if (job->exchange)
		respond_job(job);
	job_free(job);
}

/*
 * Returns the execution time of one request, with jitter.
 */
static uint32_t work_ms(const struct server *server, enum fault fault)
{
	uint64_t base_ms = server->options.work_ms;
	uint64_t spread_ms = base_ms * server->options.jitter_permille / 1000;

	if (fault == FAULT_SLOW)
		base_ms *= 10;
	if (spread_ms)
		base_ms += randombytes_uniform((uint32_t)spread_ms + 1);
	return (uint32_t)base_ms;
}

static void respond_status(struct http_exchange *exchange, uint32_t status,
			   const char *request_id, const char *text)
{
	struct http_header headers[3] = {
		{ "Content-Type", "application/json" },
		{ "Retry-After", "1" },
		{ "Almondward-Request", request_id },
	};
	struct http_response response = {
		.status = status,
		.headers = headers,
		.nr_headers = request_id ? 3 : 2,
		.body = (const uint8_t *)text,
		.body_bytes = strlen(text),
	};

	http_respond(exchange, &response);
}

static void start_job(struct server *server, struct http_exchange *exchange,
		      const struct http_request *req)
{
	const char *request_id = http_header_value(
		req->headers, req->nr_headers, "Almondward-Request");
	const char *customer = http_header_value(req->headers, req->nr_headers,
						 "Almondward-Customer");
	const char *size = query_value(req->target, "answer_bytes");
	uint8_t hash[crypto_generichash_BYTES];
	struct job *job;

	server->nr_requests++;
	count_key_leak(server, req);
	if (server->leaving)
		server->nr_after_leave++;
	if (server->busy >= server->options.slots) {
		server->nr_overrun++;
		respond_status(exchange, 503, request_id,
			       "{\"error\":\"busy\"}");
		return;
	}
	job = calloc(1, sizeof(*job));
	if (!job) {
		respond_status(exchange, 503, request_id,
			       "{\"error\":\"memory\"}");
		return;
	}
	job->server = server;
	job->exchange = exchange;
	job->fault = parse_fault(req->target);
	job->body_bytes = req->body_bytes;
	job->answer_bytes = server->options.answer_bytes;
	if (size)
		job->answer_bytes = strtoul(size, NULL, 10);
	if (job->answer_bytes > ANSWER_BYTES_MAX)
		job->answer_bytes = ANSWER_BYTES_MAX;
	snprintf(job->request_id, sizeof(job->request_id), "%s",
		 request_id ? request_id : "");
	snprintf(job->customer, sizeof(job->customer), "%s",
		 customer ? customer : "");
	crypto_generichash(hash, sizeof(hash), req->body, req->body_bytes, NULL,
			   0);
	sodium_bin2hex(job->body_hash, sizeof(job->body_hash), hash,
		       sizeof(hash));
	count_run(server, req);
	if (job->fault == FAULT_CRASH)
		_exit(3);
	server->busy++;
	job->has_slot = true;
	job->next = server->jobs;
	server->jobs = job;
	job->timer = loop_timer_create(server->loop, job_done, job);
	http_exchange_on_abort(exchange, job_aborted, job);
	if (job->fault != FAULT_SILENT)
		loop_timer_set(job->timer, work_ms(server, job->fault));
}

static void cancel_job(struct server *server, struct http_exchange *exchange,
		       const char *request_id)
{
	struct job *job, *next;

	for (job = server->jobs; job; job = next) {
		next = job->next;
		if (strcmp(job->request_id, request_id))
			continue;
		server->nr_cancelled++;
		if (job->exchange)
			respond_status(job->exchange, 503, job->request_id,
				       "{\"error\":\"cancelled\"}");
		job->exchange = NULL;
		job_free(job);
	}
	respond_status(exchange, 200, NULL, "{}");
}

static void respond_stats(struct server *server, struct http_exchange *exchange)
{
	cJSON *root = cJSON_CreateObject();
	cJSON *runs = cJSON_AddObjectToObject(root, "runs");
	struct run_count *run, *next;
	char *text;

	cJSON_AddStringToObject(root, "address", server->address);
	cJSON_AddStringToObject(root, "upstream", server->options.upstream);
	cJSON_AddNumberToObject(root, "requests", (double)server->nr_requests);
	cJSON_AddNumberToObject(root, "overrun", (double)server->nr_overrun);
	cJSON_AddNumberToObject(root, "cancelled",
				(double)server->nr_cancelled);
	cJSON_AddNumberToObject(root, "key_seen", (double)server->nr_key_seen);
	cJSON_AddNumberToObject(root, "after_leave",
				(double)server->nr_after_leave);
	cJSON_AddNumberToObject(root, "busy", server->busy);
	cJSON_AddNumberToObject(root, "connections",
				(double)http_server_connections(server->http));
	HASH_ITER(hh, server->runs, run, next)
	cJSON_AddNumberToObject(runs, run->key, (double)run->runs);
	text = cJSON_PrintUnformatted(root);
	respond_status(exchange, 200, NULL, text ? text : "{}");
	cJSON_free(text);
	cJSON_Delete(root);
}

static void leave(void *arg);

static void handle(void *arg, struct http_exchange *exchange,
		   const struct http_request *req)
{
	static const char cancel[] = "/almondward/cancel/";
	struct server *server = arg;

	if (!strncmp(req->target, cancel, sizeof(cancel) - 1)) {
		cancel_job(server, exchange, req->target + sizeof(cancel) - 1);
	} else if (!strcmp(req->target, "/testserver/stats")) {
		respond_stats(server, exchange);
	} else if (!strcmp(req->target, "/testserver/leave")) {
		respond_status(exchange, 200, NULL, "{}");
		leave(server);
	} else if (!strncmp(req->target, "/testserver/work_ms/", 20)) {
		server->options.work_ms =
			(uint32_t)strtoul(req->target + 20, NULL, 10);
		respond_status(exchange, 200, NULL, "{}");
	} else {
		start_job(server, exchange, req);
	}
}

/* ---- announcements ---- */

static void announce_done(void *arg, struct http_conn *conn,
			  const struct http_outcome *outcome)
{
	struct server *server = arg;

	(void)conn;
	if (outcome->result == HTTP_OK && outcome->response.status == 200)
		return;
	if (outcome->result == HTTP_OK)
		log_warn(LOG_COMPONENT, "announcement got status %u",
			 outcome->response.status);
	/* Send the next announcement to the next entry instance. */
	server->next_entry++;
}

static void announce(void *arg)
{
	struct server *server = arg;
	const struct options *options = &server->options;
	struct http_call call = {
		.method = server->leaving ? "DELETE" : "POST",
		.target = "/v1/servers",
		.headers = server->announce_headers,
		.nr_headers = 2,
		.body = (const uint8_t *)server->announce_body,
		.response_max_bytes = 4096,
		.timeout_ms = ANNOUNCE_TIMEOUT_MS,
		.done = announce_done,
		.arg = server,
	};

	loop_timer_set(server->announce_timer, ANNOUNCE_MS);
	if (!options->nr_entries)
		return;
	if (server->announce_conn &&
	    !http_conn_reusable(server->announce_conn)) {
		http_conn_destroy(server->announce_conn);
		server->announce_conn = NULL;
	}
	if (!server->announce_conn &&
	    http_conn_create(
		    server->loop,
		    options->entries[server->next_entry % options->nr_entries],
		    ANNOUNCE_TIMEOUT_MS, &server->announce_conn)) {
		server->next_entry++;
		return;
	}
	server->sequence++;
	snprintf(server->announce_body, sizeof(server->announce_body),
		 "{\"upstream\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"slots\":%u,\"incarnation\":%llu,\"sequence\":%llu}",
		 options->upstream, server->address, options->zone,
		 options->slots, (unsigned long long)server->incarnation,
		 (unsigned long long)server->sequence);
	call.body_bytes = strlen(server->announce_body);
	if (http_conn_call(server->announce_conn, &call))
		server->next_entry++;
}

static void stop(void *arg)
{
	struct server *server = arg;

	loop_stop(server->loop);
}

/*
 * Announces the departure. Requests in flight finish, and the process exits
 * after LEAVE_LINGER_MS.
 */
static void leave(void *arg)
{
	struct server *server = arg;

	if (server->leaving)
		return;
	server->leaving = true;
	if (server->announce_conn) {
		http_conn_destroy(server->announce_conn);
		server->announce_conn = NULL;
	}
	announce(server);
	loop_timer_set(server->exit_timer, LEAVE_LINGER_MS);
}

/* ---- command line ---- */

enum option_key {
	OPT_LISTEN = 'l',
	OPT_ADVERTISE = 'A',
	OPT_UPSTREAM = 'u',
	OPT_ZONE = 'z',
	OPT_SLOTS = 's',
	OPT_WORK = 'w',
	OPT_ENTRY = 'e',
	OPT_TOKEN = 't',
	OPT_ANSWER = 'a',
	OPT_JITTER = 'j',
	OPT_DELAY = 'd'
};

static const struct argp_option argp_options[] = {
	{ "listen", OPT_LISTEN, "IP:PORT", 0, "address to listen on", 0 },
	{ "advertise", OPT_ADVERTISE, "IP:PORT", 0,
	  "address to announce if different", 0 },
	{ "upstream", OPT_UPSTREAM, "NAME", 0, "upstream to serve", 0 },
	{ "zone", OPT_ZONE, "NAME", 0, "availability zone", 0 },
	{ "slots", OPT_SLOTS, "N", 0, "concurrent requests, 1 to 1000", 0 },
	{ "work-ms", OPT_WORK, "MS", 0, "execution time of a request", 0 },
	{ "jitter", OPT_JITTER, "PERMILLE", 0,
	  "largest random addition to --work-ms", 0 },
	{ "answer-bytes", OPT_ANSWER, "N", 0, "size of a response body", 0 },
	{ "delay", OPT_DELAY, "INSTANCE=MS", 0,
	  "round-trip time to an entry instance, can be repeated", 0 },
	{ "entry", OPT_ENTRY, "IP:PORT", 0,
	  "entry instance to announce to, can be repeated", 0 },
	{ "token-file", OPT_TOKEN, "FILE", 0,
	  "file that contains the announce token", 0 },
	{ 0 }
};

static uint32_t parse_number(struct argp_state *state, const char *arg,
			     unsigned long max)
{
	char *end;
	unsigned long value;

	errno = 0;
	value = strtoul(arg, &end, 10);
	if (errno || end == arg || *end || value > max)
		argp_error(state, "\"%s\" is not a number from 0 to %lu", arg,
			   max);
	return (uint32_t)value;
}

static char *read_token(struct argp_state *state, const char *path)
{
	static char token[256];
	FILE *file = fopen(path, "r");

	if (!file || !fgets(token, sizeof(token), file))
		argp_failure(state, 2, errno, "cannot read %s", path);
	if (file)
		fclose(file);
	token[strcspn(token, "\n")] = '\0';
	return token;
}

static void parse_delay(struct argp_state *state, const char *arg)
{
	struct options *options = state->input;
	const char *equals = strchr(arg, '=');
	struct delay *delay = &options->delays[options->nr_delays];

	if (!equals || options->nr_delays == DELAYS_MAX) {
		argp_error(state, "\"%s\" is not INSTANCE=MS", arg);
		return;
	}
	delay->instance = arg;
	delay->name_bytes = (size_t)(equals - arg);
	delay->rtt_ms = parse_number(state, equals + 1, 60000);
	options->nr_delays++;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case OPT_LISTEN:
		options->listen = arg;
		break;
	case OPT_ADVERTISE:
		options->advertise = arg;
		break;
	case OPT_UPSTREAM:
		options->upstream = arg;
		break;
	case OPT_ZONE:
		options->zone = arg;
		break;
	case OPT_SLOTS:
		options->slots = parse_number(state, arg, 1000);
		break;
	case OPT_WORK:
		options->work_ms = parse_number(state, arg, 3600000);
		break;
	case OPT_JITTER:
		options->jitter_permille = parse_number(state, arg, 100000);
		break;
	case OPT_ANSWER:
		options->answer_bytes =
			parse_number(state, arg, ANSWER_BYTES_MAX);
		break;
	case OPT_DELAY:
		parse_delay(state, arg);
		break;
	case OPT_ENTRY:
		if (options->nr_entries == ENTRIES_MAX)
			argp_error(state, "more than %d entry instances",
				   ENTRIES_MAX);
		options->entries[options->nr_entries++] = arg;
		break;
	case OPT_TOKEN:
		options->token = read_token(state, arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	argp_options, parse_option,
	NULL,	      "Simulated backend server for tests of almondward.",
	NULL,	      NULL,
	NULL
};

int main(int argc, char **argv)
{
	struct server server = {
		.options = { .listen = "127.0.0.1:0",
			     .upstream = "lookup",
			     .zone = "a1",
			     .token = "",
			     .slots = 4,
			     .work_ms = 5 },
	};
	struct http_server_settings settings = {
		.body_max_bytes = BODY_BYTES_MAX,
		.connections_max = 2000,
		.idle_timeout_ms = 120000,
		.head_timeout_ms = 15000,
		.body_timeout_ms = 15000,
	};
	int status = 1;

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &server.options);
	if (sodium_init() < 0)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	server.clk = clk_create_system();
	server.loop = server.clk ? loop_create(server.clk) : NULL;
	if (!server.loop)
		goto out;
	settings.address = server.options.listen;
	if (http_server_create(server.loop, &settings, handle, &server,
			       &server.http)) {
		log_error(LOG_COMPONENT, "cannot listen on %s: %s",
			  server.options.listen, strerror(errno));
		goto out;
	}
	snprintf(server.address, sizeof(server.address), "%s",
		 server.options.advertise ? server.options.advertise :
					    http_server_address(server.http));
	server.incarnation = clk_wall_ms(server.clk);
	snprintf(server.authorization, sizeof(server.authorization),
		 "Bearer %s", server.options.token);
	server.announce_headers[0] =
		(struct http_header){ "Authorization", server.authorization };
	server.announce_headers[1] =
		(struct http_header){ "Content-Type", "application/json" };
	server.announce_timer =
		loop_timer_create(server.loop, announce, &server);
	server.exit_timer = loop_timer_create(server.loop, stop, &server);
	if (!server.announce_timer || !server.exit_timer ||
	    loop_on_stop_signal(server.loop, leave, &server))
		goto out;
	printf("listening on %s\n", server.address);
	fflush(stdout);
	announce(&server);
	loop_run(server.loop);
	status = 0;
out:
	if (server.announce_conn)
		http_conn_destroy(server.announce_conn);
	if (server.http)
		http_server_destroy(server.http);
	loop_timer_destroy(server.announce_timer);
	loop_timer_destroy(server.exit_timer);
	loop_destroy(server.loop);
	clk_destroy(server.clk);
	return status;
}
