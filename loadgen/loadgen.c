/*
 * loadgen: an open-loop load generator for the experiments.
 *
 * Reads a load plan (JSON) from standard input and prints a result (JSON) to
 * standard output. Requests are sent at their scheduled times, whether or not
 * earlier ones got a response, and latency is measured from the scheduled time,
 * so a slow system cannot hide its queue (coordinated omission).
 *
 * Plan: {"seed", "duration_ms", "targets": ["IP:port"...], "streams": [
 *   {"name", "method", "target", "rate_per_s", "body_bytes", "key",
 *    "idempotent", "deadline_ms", "retry", "start_ms", "end_ms"}]}
 * "targets" are used round robin. The "target" of a stream may contain one
 * "%u", which is replaced by a sequence number.
 */
#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <sodium.h>

#include "buf.h"
#include "clock.h"
#include "http.h"
#include "loop.h"

#define TARGETS_MAX 64
#define STREAMS_MAX 64
#define REASONS_MAX 48
#define REASON_BYTES 48
#define TICK_MS 1
#define CONNECT_TIMEOUT_MS 3000
#define SECOND_US 1000000
#define DRAIN_MS 6000 /* wait after the end for requests in flight */
#define ANSWER_BYTES_MAX (64 << 20)
#define RANDOM_WORDS 1024
#define ATTEMPTS_MAX 3 /* targets that a caller tries for one request */

/*
 * Number of refusals and client-side failures for one reason.
 */
struct reason {
	char name[REASON_BYTES];
	uint64_t count;
	uint64_t not_run; /* refusals that state that nothing was executed */
};

struct stream {
	char name[64];
	char method[16];
	char target[256];
	char authorization[256];
	double rate_per_s;
	size_t body_bytes;
	uint32_t deadline_ms;
	uint64_t start_us;
	uint64_t end_us;
	bool idempotent;
	uint64_t next_us;
	uint64_t sent;
	uint64_t ok;
	uint64_t late; /* successful response after the deadline */
	uint64_t answer_bytes;
	uint64_t moved; /* attempts at another target, connection failed */
	uint32_t *latency_us;
	size_t nr_latencies;
	size_t latencies_capacity;
	struct reason reasons[REASONS_MAX];
	size_t nr_reasons;
};

struct idle_conn {
	struct http_conn *conn;
	struct idle_conn *next;
};

struct target {
	const char *address;
	struct idle_conn *idle;
};

struct load {
	struct loop *loop;
	struct clk *clk;
	struct loop_timer *tick_timer;
	struct target targets[TARGETS_MAX];
	size_t nr_targets;
	struct stream streams[STREAMS_MAX];
	size_t nr_streams;
	uint8_t seed[randombytes_SEEDBYTES];
	uint64_t random[RANDOM_WORDS];
	size_t random_left; /* unused words at the end of random */
	uint64_t start_us;
	uint64_t duration_us;
	uint64_t serial; /* sequence number of the last request */
	uint64_t nr_attempts; /* selects the target, round robin */
	uint64_t in_flight;
	uint8_t *body; /* zeros, the body of every request */
};

struct call {
	struct load *load;
	struct stream *stream;
	struct target *target;
	struct http_conn *conn;
	uint64_t scheduled_us;
	uint32_t nr_attempts;
	char path[300];
	char idempotency_key[64];
	struct http_header headers[3];
};

static uint64_t next_random(struct load *load)
{
	if (!load->random_left) {
		randombytes_buf_deterministic(load->random,
					      sizeof(load->random), load->seed);
		memcpy(load->seed, load->random, sizeof(load->seed));
		/* The first words are the next seed and not used as output. */
		load->random_left =
			RANDOM_WORDS - sizeof(load->seed) / sizeof(uint64_t);
	}
	return load->random[RANDOM_WORDS - load->random_left--];
}

/*
 * Returns the time to the next arrival of a Poisson process.
 */
static uint64_t next_gap_us(struct load *load, double rate_per_s)
{
	double uniform = (double)((next_random(load) >> 11) + 1) / 0x1p53;

	return (uint64_t)(-log(uniform) / rate_per_s * SECOND_US);
}

/*
 * Returns the counter for a reason, which it adds if necessary. When the table
 * is full, all other reasons share the last counter.
 */
static struct reason *find_reason(struct stream *stream, const char *name)
{
	size_t i;

	for (i = 0; i < stream->nr_reasons; i++) {
		if (!strncmp(stream->reasons[i].name, name, REASON_BYTES - 1))
			return &stream->reasons[i];
	}
	if (stream->nr_reasons == REASONS_MAX)
		return &stream->reasons[REASONS_MAX - 1];
	snprintf(stream->reasons[i].name, REASON_BYTES, "%s", name);
	return &stream->reasons[stream->nr_reasons++];
}

static void record_latency(struct stream *stream, uint64_t latency_us)
{
	if (stream->nr_latencies == stream->latencies_capacity) {
		size_t size = stream->latencies_capacity * 2 + 1024;
		uint32_t *grown =
			realloc(stream->latency_us, size * sizeof(*grown));

		if (!grown)
			return;
		stream->latency_us = grown;
		stream->latencies_capacity = size;
	}
	if (latency_us > UINT32_MAX)
		latency_us = UINT32_MAX;
	stream->latency_us[stream->nr_latencies++] = (uint32_t)latency_us;
}

/*
 * Counts a refusal by the error name in its JSON body, or by its status if the
 * body has none.
 */
static void record_refusal(struct stream *stream,
			   const struct http_response *response)
{
	cJSON *json = cJSON_ParseWithLength((const char *)response->body,
					    response->body_bytes);
	const cJSON *error = cJSON_GetObjectItem(json, "error");
	const cJSON *not_run = cJSON_GetObjectItem(json, "not_run");
	struct reason *reason;
	char status[32];

	snprintf(status, sizeof(status), "status_%u", response->status);
	reason = find_reason(
		stream, cJSON_IsString(error) ? error->valuestring : status);
	reason->count++;
	reason->not_run += cJSON_IsTrue(not_run);
	cJSON_Delete(json);
}

static const char *const result_names[] = {
	[HTTP_OK] = "ok",
	[HTTP_CONNECT_FAILED] = "client_connect_failed",
	[HTTP_CLOSED] = "client_closed",
	[HTTP_INCOMPLETE] = "client_cut",
	[HTTP_TIMEOUT] = "client_timeout",
	[HTTP_MALFORMED] = "client_malformed",
	[HTTP_TOO_LARGE] = "client_too_large",
	[HTTP_MEMORY] = "client_memory",
};

static void put_idle_connection(struct target *target, struct http_conn *conn)
{
	struct idle_conn *idle = calloc(1, sizeof(*idle));

	if (!idle) {
		http_conn_destroy(conn);
		return;
	}
	idle->conn = conn;
	idle->next = target->idle;
	target->idle = idle;
}

static struct http_conn *get_connection(struct load *load,
					struct target *target)
{
	struct http_conn *conn = NULL;

	while (target->idle) {
		struct idle_conn *idle = target->idle;

		conn = idle->conn;
		target->idle = idle->next;
		free(idle);
		if (http_conn_reusable(conn))
			return conn;
		http_conn_destroy(conn);
	}
	if (http_conn_create(load->loop, target->address, CONNECT_TIMEOUT_MS,
			     &conn))
		return NULL;
	return conn;
}

static void call_done(void *arg, struct http_conn *conn,
		      const struct http_outcome *outcome);

/*
 * Sends a request to the next target. A real caller gets several instances from
 * a look-up and uses the next one when it cannot connect.
 */
static bool send_to_next(struct call *call)
{
	struct load *load = call->load;
	const struct stream *stream = call->stream;
	struct http_call http = {
		.method = stream->method,
		.target = call->path,
		.headers = call->headers,
		.body = load->body,
		.body_bytes = stream->body_bytes,
		.response_max_bytes = ANSWER_BYTES_MAX,
		.timeout_ms = stream->deadline_ms + 2000,
		.done = call_done,
		.arg = call,
	};

	load->nr_attempts++;
	call->nr_attempts++;
	call->target = &load->targets[load->nr_attempts % load->nr_targets];
	call->headers[http.nr_headers++] =
		(struct http_header){ "Host", call->target->address };
	if (*stream->authorization)
		call->headers[http.nr_headers++] =
			(struct http_header){ "Authorization",
					      stream->authorization };
	if (!stream->idempotent)
		call->headers[http.nr_headers++] =
			(struct http_header){ "Idempotency-Key",
					      call->idempotency_key };
	call->conn = get_connection(load, call->target);
	if (!call->conn)
		return false;
	if (!http_conn_call(call->conn, &http))
		return true;
	http_conn_destroy(call->conn);
	return false;
}

static void call_done(void *arg, struct http_conn *conn,
		      const struct http_outcome *outcome)
{
	struct call *call = arg;
	struct stream *stream = call->stream;
	uint64_t now_us = clk_now_us(call->load->clk);
	uint64_t latency_us = now_us - call->scheduled_us;

	if (outcome->result == HTTP_CONNECT_FAILED &&
	    call->nr_attempts < ATTEMPTS_MAX) {
		http_conn_destroy(conn);
		stream->moved++;
		if (send_to_next(call))
			return;
		call->load->in_flight--;
		find_reason(stream, "client_connect_failed")->count++;
		free(call);
		return;
	}
	call->load->in_flight--;
	if (outcome->result != HTTP_OK) {
		find_reason(stream, result_names[outcome->result])->count++;
	} else if (outcome->response.status / 100 == 2) {
		stream->answer_bytes += outcome->response.body_bytes;
		record_latency(stream, latency_us);
		if (latency_us <= (uint64_t)stream->deadline_ms * 1000)
			stream->ok++;
		else
			stream->late++;
	} else {
		record_refusal(stream, &outcome->response);
	}
	if (outcome->result == HTTP_OK && http_conn_reusable(conn))
		put_idle_connection(call->target, conn);
	else
		http_conn_destroy(conn);
	free(call);
}

static void send_call(struct load *load, struct stream *stream)
{
	struct call *call = calloc(1, sizeof(*call));

	stream->sent++;
	if (!call)
		return;
	load->serial++;
	call->load = load;
	call->stream = stream;
	call->scheduled_us = stream->next_us;
	/* target_is_safe() has checked the format: at most one "%u". */
	snprintf(call->path, sizeof(call->path), stream->target,
		 (unsigned int)load->serial);
	snprintf(call->idempotency_key, sizeof(call->idempotency_key),
		 "%016" PRIx64 "%08" PRIx64, next_random(load), load->serial);
	if (!send_to_next(call)) {
		find_reason(stream, "client_connect_failed")->count++;
		free(call);
		return;
	}
	load->in_flight++;
}

static void tick(void *arg)
{
	struct load *load = arg;
	uint64_t now_us = clk_now_us(load->clk);
	size_t i;

	for (i = 0; i < load->nr_streams; i++) {
		struct stream *stream = &load->streams[i];

		while (stream->next_us <= now_us &&
		       stream->next_us < stream->end_us) {
			send_call(load, stream);
			stream->next_us +=
				next_gap_us(load, stream->rate_per_s);
		}
	}
	if (now_us >= load->start_us + load->duration_us &&
	    (!load->in_flight || now_us >= load->start_us + load->duration_us +
						   (uint64_t)DRAIN_MS * 1000)) {
		loop_stop(load->loop);
		return;
	}
	loop_timer_set(load->tick_timer, TICK_MS);
}

/* ---- plan and result ---- */

static double json_number(const cJSON *object, const char *name,
			  double fallback)
{
	const cJSON *item = cJSON_GetObjectItem(object, name);

	return cJSON_IsNumber(item) ? item->valuedouble : fallback;
}

static const char *json_text(const cJSON *object, const char *name,
			     const char *fallback)
{
	const cJSON *item = cJSON_GetObjectItem(object, name);

	return cJSON_IsString(item) ? item->valuestring : fallback;
}

/*
 * Checks that a target is safe as a format for one unsigned int.
 */
static bool target_is_safe(const char *target)
{
	const char *percent = strchr(target, '%');

	return !percent ||
	       (!strncmp(percent, "%u", 2) && !strchr(percent + 1, '%'));
}

static int read_stream(struct load *load, const cJSON *json)
{
	struct stream *stream = &load->streams[load->nr_streams];
	const char *key = json_text(json, "key", "");
	const char *target = json_text(json, "target", "/");

	if (load->nr_streams == STREAMS_MAX || !target_is_safe(target))
		return -1;
	snprintf(stream->name, sizeof(stream->name), "%s",
		 json_text(json, "name", "stream"));
	snprintf(stream->method, sizeof(stream->method), "%s",
		 json_text(json, "method", "GET"));
	snprintf(stream->target, sizeof(stream->target), "%s", target);
	if (*key)
		snprintf(stream->authorization, sizeof(stream->authorization),
			 "Bearer %s", key);
	stream->rate_per_s = json_number(json, "rate_per_s", 1);
	stream->body_bytes = (size_t)json_number(json, "body_bytes", 0);
	stream->deadline_ms = (uint32_t)json_number(json, "deadline_ms", 5000);
	stream->idempotent =
		!cJSON_IsFalse(cJSON_GetObjectItem(json, "idempotent"));
	stream->start_us = (uint64_t)(json_number(json, "start_ms", 0) * 1000);
	stream->end_us = (uint64_t)(json_number(json, "end_ms", 1e9) * 1000);
	if (stream->rate_per_s <= 0 || stream->body_bytes > ANSWER_BYTES_MAX)
		return -1;
	load->nr_streams++;
	return 0;
}

static int read_plan(struct load *load, const cJSON *plan)
{
	const cJSON *item;
	uint64_t seed = (uint64_t)json_number(plan, "seed", 1);

	memcpy(load->seed, &seed, sizeof(seed));
	load->duration_us =
		(uint64_t)(json_number(plan, "duration_ms", 1000) * 1000);
	cJSON_ArrayForEach(item, cJSON_GetObjectItem(plan, "targets"))
	{
		if (!cJSON_IsString(item) || load->nr_targets == TARGETS_MAX)
			return -1;
		load->targets[load->nr_targets++].address = item->valuestring;
	}
	cJSON_ArrayForEach(item, cJSON_GetObjectItem(plan, "streams"))
	{
		if (read_stream(load, item))
			return -1;
	}
	return load->nr_targets && load->nr_streams ? 0 : -1;
}

static int compare_latencies(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const struct stream *stream, double q)
{
	size_t i;

	if (!stream->nr_latencies)
		return 0;
	i = (size_t)(q * (double)stream->nr_latencies);
	if (i >= stream->nr_latencies)
		i = stream->nr_latencies - 1;
	return stream->latency_us[i] / 1000.0;
}

static void add_stream_result(cJSON *list, struct stream *stream)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *reasons;
	size_t i;

	if (stream->nr_latencies)
		qsort(stream->latency_us, stream->nr_latencies,
		      sizeof(*stream->latency_us), compare_latencies);
	cJSON_AddStringToObject(json, "name", stream->name);
	cJSON_AddNumberToObject(json, "sent", (double)stream->sent);
	cJSON_AddNumberToObject(json, "ok", (double)stream->ok);
	cJSON_AddNumberToObject(json, "late", (double)stream->late);
	cJSON_AddNumberToObject(json, "moved", (double)stream->moved);
	cJSON_AddNumberToObject(json, "answer_bytes",
				(double)stream->answer_bytes);
	cJSON_AddNumberToObject(json, "p50_ms", quantile_ms(stream, 0.5));
	cJSON_AddNumberToObject(json, "p99_ms", quantile_ms(stream, 0.99));
	cJSON_AddNumberToObject(json, "p999_ms", quantile_ms(stream, 0.999));
	reasons = cJSON_AddObjectToObject(json, "refused");
	for (i = 0; i < stream->nr_reasons; i++)
		cJSON_AddNumberToObject(reasons, stream->reasons[i].name,
					(double)stream->reasons[i].count);
	reasons = cJSON_AddObjectToObject(json, "refused_not_run");
	for (i = 0; i < stream->nr_reasons; i++)
		cJSON_AddNumberToObject(reasons, stream->reasons[i].name,
					(double)stream->reasons[i].not_run);
	cJSON_AddItemToArray(list, json);
}

static void print_result(struct load *load)
{
	cJSON *root = cJSON_CreateObject();
	cJSON *list = cJSON_AddArrayToObject(root, "streams");
	char *out;
	size_t i;

	cJSON_AddNumberToObject(root, "unanswered", (double)load->in_flight);
	for (i = 0; i < load->nr_streams; i++)
		add_stream_result(list, &load->streams[i]);
	out = cJSON_Print(root);
	puts(out ? out : "{}");
	cJSON_free(out);
	cJSON_Delete(root);
}

static int read_all(FILE *file, struct buf *out)
{
	char block[65536];
	size_t len;

	while ((len = fread(block, 1, sizeof(block), file)) > 0) {
		if (buf_append(out, block, len))
			return -1;
	}
	return ferror(file) ? -1 : 0;
}

static void release_load(struct load *load)
{
	size_t i;

	for (i = 0; i < load->nr_targets; i++) {
		while (load->targets[i].idle) {
			struct idle_conn *idle = load->targets[i].idle;

			load->targets[i].idle = idle->next;
			http_conn_destroy(idle->conn);
			free(idle);
		}
	}
	for (i = 0; i < load->nr_streams; i++)
		free(load->streams[i].latency_us);
}

static const struct argp argp = {
	NULL,
	NULL,
	NULL,
	"Load generator: reads a JSON load plan from standard input and "
	"prints a JSON result.",
	NULL,
	NULL,
	NULL
};

int main(int argc, char **argv)
{
	static struct load load;
	struct buf input = BUF_INIT;
	cJSON *plan = NULL;
	int status = 1;
	size_t i;

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (sodium_init() < 0)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	if (read_all(stdin, &input))
		goto out;
	plan = cJSON_ParseWithLength((char *)input.data, input.len_bytes);
	if (!plan || read_plan(&load, plan)) {
		fprintf(stderr, "loadgen: invalid load plan\n");
		status = 2;
		goto out;
	}
	load.body = calloc(1, ANSWER_BYTES_MAX);
	load.clk = clk_create_system();
	load.loop = load.clk ? loop_create(load.clk) : NULL;
	load.tick_timer =
		load.loop ? loop_timer_create(load.loop, tick, &load) : NULL;
	if (!load.tick_timer || !load.body)
		goto out;
	load.start_us = clk_now_us(load.clk);
	for (i = 0; i < load.nr_streams; i++) {
		struct stream *stream = &load.streams[i];

		stream->end_us += load.start_us;
		if (stream->end_us > load.start_us + load.duration_us)
			stream->end_us = load.start_us + load.duration_us;
		stream->next_us = load.start_us + stream->start_us +
				  next_gap_us(&load, stream->rate_per_s);
	}
	loop_timer_set(load.tick_timer, TICK_MS);
	loop_run(load.loop);
	print_result(&load);
	status = 0;
out:
	release_load(&load);
	loop_timer_destroy(load.tick_timer);
	loop_destroy(load.loop);
	clk_destroy(load.clk);
	free(load.body);
	cJSON_Delete(plan);
	buf_release(&input);
	return status;
}
