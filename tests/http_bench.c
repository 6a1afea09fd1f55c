/*
 * Prints the CPU time per request of the HTTP server and client while idle
 * connections are open. Server and client run in a thread each.
 * "make bench" builds and runs it; it is not part of "make test".
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "http.h"
#include "log.h"

#define WARM_UP 1000 /* requests before the measurement */
#define REQUESTS 20000 /* measured */
#define IDLE_MAX 5000

struct server {
	struct clk *clk;
	struct loop *loop;
	struct http_server *http;
	uint32_t nr_requests;
	uint64_t start_ns;
	double us_per_request;
};

struct client {
	struct clk *clk;
	struct loop *loop;
	struct server *server;
	const char *address;
	struct loop_conn *idle[IDLE_MAX];
	uint32_t nr_idle;
	uint32_t nr_opened; /* of idle */
	struct http_conn *conn;
	uint32_t nr_done;
	uint64_t start_ns;
	double us_per_request;
};

static uint64_t thread_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

static void fail(const char *what)
{
	fprintf(stderr, "http_bench: %s\n", what);
	exit(1);
}

static void on_request(void *arg, struct http_exchange *exchange,
		       const struct http_request *req)
{
	static const char body[] = "0123456789";
	struct http_response response = { .status = 200,
					  .body = (const uint8_t *)body,
					  .body_bytes = sizeof(body) - 1 };
	struct server *server = arg;

	(void)req;
	if (++server->nr_requests == WARM_UP)
		server->start_ns = thread_ns();
	http_respond(exchange, &response);
	if (server->nr_requests < WARM_UP + REQUESTS)
		return;
	server->us_per_request =
		(double)(thread_ns() - server->start_ns) / 1e3 / REQUESTS;
	loop_stop(server->loop);
}

static void *run_server(void *arg)
{
	struct server *server = arg;

	loop_run(server->loop);
	return NULL;
}

static void on_idle_data(void *arg, struct loop_conn *conn, const uint8_t *data,
			 size_t len_bytes)
{
	(void)arg;
	(void)conn;
	(void)data;
	(void)len_bytes;
}

static void on_idle_closed(void *arg, struct loop_conn *conn,
			   enum loop_close reason)
{
	(void)arg;
	(void)conn;
	(void)reason;
	fail("an idle connection was closed");
}

static void call(struct client *client);

static void on_done(void *arg, struct http_conn *conn,
		    const struct http_outcome *outcome)
{
	struct client *client = arg;

	(void)conn;
	if (outcome->result != HTTP_OK)
		fail("a request failed");
	if (++client->nr_done == WARM_UP)
		client->start_ns = thread_ns();
	if (client->nr_done < WARM_UP + REQUESTS) {
		call(client);
		return;
	}
	client->us_per_request =
		(double)(thread_ns() - client->start_ns) / 1e3 / REQUESTS;
	loop_stop(client->loop);
}

static void call(struct client *client)
{
	const struct http_header headers[] = {
		{ "Almondward-Customer", "customer" },
		{ "Almondward-Request", "request-1" },
		{ "Accept", "*/*" },
	};
	struct http_call request = { .method = "GET",
				     .target = "/v1/example",
				     .headers = headers,
				     .nr_headers = 3,
				     .response_max_bytes = 1000,
				     .timeout_ms = 10000,
				     .done = on_done,
				     .arg = client };

	if (http_conn_call(client->conn, &request))
		fail("cannot send a request");
}

static void on_idle_opened(void *arg, struct loop_conn *conn)
{
	static const struct loop_conn_ops ops = { on_idle_opened, on_idle_data,
						  NULL, on_idle_closed };
	struct client *client = arg;

	if (conn)
		client->nr_opened++;
	if (client->nr_opened < client->nr_idle) {
		if (loop_connect(client->loop, client->address, 5000, &ops,
				 client, &client->idle[client->nr_opened]))
			fail("cannot open an idle connection");
		return;
	}
	if (http_conn_create(client->loop, client->address, 5000,
			     &client->conn))
		fail("cannot connect");
	call(client);
}

static void measure(uint32_t nr_idle)
{
	struct server server = { 0 };
	struct client *client = calloc(1, sizeof(*client));
	struct http_server_settings settings = { .address = "127.0.0.1:0",
						 .body_max_bytes = 1000,
						 .connections_max = 10000,
						 .idle_timeout_ms = 60000,
						 .head_timeout_ms = 15000,
						 .body_timeout_ms = 15000 };
	pthread_t thread;

	server.clk = clk_create_system();
	server.loop = loop_create(server.clk);
	if (!client || http_server_create(server.loop, &settings, on_request,
					  &server, &server.http))
		fail("cannot start");
	client->clk = clk_create_system();
	client->loop = loop_create(client->clk);
	client->address = http_server_address(server.http);
	client->nr_idle = nr_idle;
	if (pthread_create(&thread, NULL, run_server, &server))
		fail("cannot create a thread");
	on_idle_opened(client, NULL);
	loop_run(client->loop);
	pthread_join(thread, NULL);
	printf("%u idle connections: server %.1f us, client %.1f us\n", nr_idle,
	       server.us_per_request, client->us_per_request);
	http_conn_destroy(client->conn);
	loop_destroy(client->loop);
	clk_destroy(client->clk);
	http_server_destroy(server.http);
	loop_destroy(server.loop);
	clk_destroy(server.clk);
	free(client);
}

int main(void)
{
	log_set_level(LOG_LEVEL_WARN);
	measure(0);
	measure(1000);
	measure(5000);
	return 0;
}
