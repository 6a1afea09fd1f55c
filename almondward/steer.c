#include "steer.h"

#include "hash.h"
#include "need.h"
#include "notice.h"
#include "shift.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

/* Initial estimates, replaced by measurements. Work on an object that the
 * server has cached takes about a third. */
#define INITIAL_CACHED_MS 350.0
#define INITIAL_UNCACHED_MS 1000.0
#define CACHED_WORK_SHARE (1.0 / 3)
#define SAME_ZONE_RTT_MS 1.0
#define SAME_REGION_RTT_MS 3.0
#define INITIAL_OTHER_REGION_RTT_MS 90.0

/* Weights of the newest sample in moving averages. */
#define WORK_WEIGHT 0.05
#define WORK_FACTOR_WEIGHT 0.25
#define FAILURE_WEIGHT 0.15
#define RTT_WEIGHT 0.2
#define SERVICE_WEIGHT 0.1

/* Cost of a failure to the caller: about one retry after the retry-after
 * time. */
#define FAILURE_COST_MS 2000.0
/* Time constant with which a server's averages decay to normal, so that it is
 * tried again. */
#define DECAY_MS 4000.0
/* After a failed connection a server gets no requests while there are others,
 * until it is reached again or this time has passed. */
#define UNREACHED_AVOID_MS 5000
/* Time constant with which the last known count of other instances' requests
 * decays. */
#define OTHERS_DECAY_MS 1500.0
/* The shift limit is suspended for this time after servers were lost, since
 * their requests have to be handled elsewhere. */
#define SHIFT_EXEMPT_MS 3000
/* The shift limit is suspended for this time after the start of the process,
 * which learns of the servers one by one. */
#define STARTUP_MS 6000
/* A leaving server loses its cache, so its requests go to other servers. */
#define LEAVING_COST_MS 3000.0
/* A silent server sends no heartbeats: most often its process has exited. */
#define SILENT_COST_MS 3000.0
/* Probability that a server has an object cached, by rank. */
static const double cached_probability[STEER_RANK_COUNT] = {
	[STEER_RANK_OTHER] = 0,	     [STEER_RANK_CACHED] = 1,
	[STEER_RANK_FIRST] = 0.8,    [STEER_RANK_SECOND] = 0.3,
	[STEER_RANK_FALLBACK] = 0.3,
};

/* Share of the time left for the response that a request may be queued at a
 * server; the rest covers the variance of the work. */
#define WAIT_SHARE 0.85
/* Less urgent requests leave part of the queue to more urgent ones. */
#define WAIT_SHARE_LOW 0.75
/* A server that does not have the object cached needs three times the work, so
 * a request that would be late is sent to such a server only while less than
 * this share of the slots is busy. */
#define SPILL_BUSY_MAX 0.7
/* At most this number of instances uses a cold server; each of them may send
 * one request at once beside its share of the rate. */
#define COLD_INSTANCES_MAX 4

/* Share of the near servers' slots that the objects of the region may occupy on
 * average. Objects beyond that belong to far servers: a server that is sent
 * more objects than fit into its cache finds none of them cached. */
#define NEAR_BUSY_MAX 0.7
/* Time constant with which the average demand follows a change. */
#define DEMAND_FOLLOW_MS 2000.0
/* Share of the shift limit that objects may use up in a window by changing
 * their region; the rest is for single requests (see shift.c). */
#define OBJECTS_SHIFT_SHARE 0.15

/* Traffic between zones is charged for: each KB of body counts as this much
 * waiting time. */
#define OTHER_ZONE_MS_PER_KB 4.0
/* Objects with bodies of at least this size are served in the zone. */
#define LARGE_BODY_BYTES 16384

/* Number of near servers that handle an object, and of far ones: the second
 * takes requests that the first has no capacity for, the third replaces one of
 * them that has failed. */
#define RANKED_SERVERS 3
/* A server with a higher failure rate is not counted as healthy. */
#define HEALTHY_FAILURE_RATE_MAX 0.5
/* A coordinator's reply counts as current for this time. */
#define COORD_REPLY_VALID_MS 300

/* A server is expected to keep an object cached for this time. */
#define OBJECT_LIFETIME_MS 30000
#define OBJECTS_MAX 50000 /* objects in steer.objects */
#define OBJECT_SERVERS_MAX 3 /* servers recorded for one object */

/* A permit of this instance's own share that is not used within this time is
 * lost: the instances must not all have one when their coordinator fails. */
#define OWN_PERMIT_LIFETIME_MS 2000
/* After a denial a permit is requested again after this time at the latest,
 * even if none is due yet: the limit may have been raised, or the coordinator
 * may reply again. */
#define DENIED_MAX_MS 500

#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_MAX_MS 1200

struct upstream {
	char name[NAME_BYTES_MAX];
	uint32_t hash;
	struct steer_server **servers;
	size_t nr_servers;
	/* Work on objects that the server has cached, and on others. */
	double cached_ms;
	double uncached_ms;
	uint32_t nr_cached; /* samples in cached_ms; nr_uncached likewise */
	uint32_t nr_uncached;
	double plain_ms; /* work of requests without an object */
	uint32_t nr_plain;
	uint32_t cold_milli_per_s;
	uint32_t near_slots;
	/* Requests that all instances of the region have in flight, now and on
	 * average. */
	uint32_t demand_now;
	double demand;
	bool had_demand; /* there have been requests */
	/* Share of the objects that belongs to near servers; negative: not
	 * known yet. */
	double near_share;
	/* Of callers that were refused because of limits. */
	struct limit_returns returns;
	UT_hash_handle hh;
};

struct steer_server {
	char id[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t hash;
	struct upstream *upstream;
	uint32_t slots;
	bool listed; /* in the table of servers */
	bool silent;
	bool evacuated;
	bool replaced; /* another process has its address */
	bool attempted; /* this instance has sent it a request */
	size_t nr_idle; /* idle connections to it */
	struct notice notice;
	struct limit limit;
	uint64_t permit_ms; /* when the next permit is due */
	uint64_t denied_until_ms; /* no permit is requested before */
	struct limit_bucket own_permits; /* without a coordinator */
	/* When its coordinator last replied about it. */
	uint64_t coord_reply_ms;
	uint64_t coord_reply_object;
	bool coord_reply_cached;
	uint64_t cold_until_ms;
	bool cold_allowed; /* this instance may use it while it is cold */
	double cold_tokens;
	double cold_per_ms;
	uint64_t cold_filled_ms;
	uint32_t in_flight; /* attempts of this instance */
	uint64_t oldest_ms; /* when the first of them was sent */
	double others_in_flight; /* of other instances, as last reported */
	/* When the server or its coordinator last reported its load. */
	uint64_t load_at_ms;
	/* Time for which a request occupies a slot; 0: unknown. */
	double service_ms;
	double work_factor; /* its work relative to the mean of the upstream */
	double failure_rate; /* share of failed attempts */
	uint64_t decayed_ms; /* when the averages last decayed */
	uint64_t unreached_until_ms;
	void *data;
	UT_hash_handle hh;
	/* List of unlisted servers with attempts in flight. */
	struct steer_server *prev, *next;
};

struct object_server {
	uint64_t server; /* hash of its id */
	uint64_t used_ms;
};

/* Servers that handled an object lately. */
struct object_entry {
	uint64_t object;
	struct object_server cached_at[OBJECT_SERVERS_MAX];
	uint64_t used_ms;
	UT_hash_handle hh; /* least recently used first */
};

struct region_rtt {
	char region[NAME_BYTES_MAX];
	double ms;
};

struct steer {
	struct clk *clk;
	/* The clock, as read at the start of the current call. */
	uint64_t at_ms;
	const struct set_cluster *cluster;
	char zone[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
	char instance[NAME_BYTES_MAX];
	struct upstream *upstreams;
	struct steer_server *servers; /* by id */
	struct steer_server *unlisted;
	struct need *need; /* demand of the other instances of the region */
	size_t nr_regions;
	struct object_entry *objects;
	struct notice_store *notices; /* of servers that are not in the table */
	struct shift shift;
	uint64_t demand_measured_ms; /* when the demand was last measured */
	uint64_t startup_until_ms; /* end of the startup phase */
	uint64_t first_request_ms; /* when the first request was handled */
	/* The shift limit does not apply until then. */
	uint64_t shift_exempt_until_ms;
	struct region_rtt region_rtts[SET_ZONES_MAX]; /* to other regions */
	size_t nr_region_rtts;
	unsigned short random_state[3];
	void (*drop)(void *arg, void *data);
	void *drop_arg;
};

const char *steer_verdict_name(enum steer_verdict verdict)
{
	static const char *const names[] = {
		[STEER_SEND] = "send",	     [STEER_NO_SERVER] = "no_server",
		[STEER_BUSY] = "busy",	     [STEER_COLD] = "cold",
		[STEER_SHIFT] = "shift",     [STEER_BACKOFF] = "paused",
		[STEER_LIMITED] = "limited",
	};

	return names[verdict];
}

const char *steer_outcome_name(enum steer_outcome outcome)
{
	static const char *const names[] = {
		[STEER_SUCCESS] = "success",
		[STEER_FAILURE] = "failure",
		[STEER_SHED] = "shed",
		[STEER_UNREACHED] = "unreached",
		[STEER_REPLACED] = "gone",
		[STEER_CANCELLED] = "cancelled",
		[STEER_BROKEN_CONNECTION] = "broken",
		[STEER_WITHDRAWN] = "withdrawn",
	};

	return names[outcome];
}

/*
 * Reads the clock once for each call of a public function: a choice needs the
 * time several times for each of hundreds of servers.
 */
static uint64_t read_clock(struct steer *steer)
{
	steer->at_ms = clk_now_ms(steer->clk);
	return steer->at_ms;
}

static uint64_t now_ms(const struct steer *steer)
{
	return steer->at_ms;
}

/* ---- create and destroy ---- */

static size_t count_regions(const struct set_cluster *cluster)
{
	size_t nr = 0, first;

	for (size_t i = 0; i < cluster->nr_zones; i++) {
		for (first = 0; first < i; first++)
			if (!strcmp(cluster->zones[first].region,
				    cluster->zones[i].region))
				break;
		nr += first == i;
	}
	return nr;
}

struct steer *steer_create(struct clk *clk, const struct set_cluster *cluster,
			   const char *zone, const char *instance)
{
	struct steer *steer = calloc(1, sizeof(*steer));
	uint64_t seed = hash_text(instance);

	if (!steer)
		return NULL;
	steer->notices = notice_store_create();
	steer->need = need_create(clk);
	if (!steer->notices || !steer->need) {
		notice_store_destroy(steer->notices);
		need_destroy(steer->need);
		free(steer);
		return NULL;
	}
	steer->clk = clk;
	steer->cluster = cluster;
	snprintf(steer->zone, sizeof(steer->zone), "%s", zone);
	snprintf(steer->region, sizeof(steer->region), "%s",
		 set_region(cluster, zone));
	snprintf(steer->instance, sizeof(steer->instance), "%s", instance);
	steer->nr_regions = count_regions(cluster);
	read_clock(steer);
	steer->demand_measured_ms = now_ms(steer);
	steer->startup_until_ms = now_ms(steer) + STARTUP_MS;
	steer->shift_exempt_until_ms = steer->startup_until_ms;
	shift_init(&steer->shift, cluster->bounds.shift_permille);
	for (size_t i = 0; i < 3; i++)
		steer->random_state[i] = (unsigned short)(seed >> (16 * i));
	return steer;
}

void steer_on_drop(struct steer *steer, void (*drop)(void *arg, void *data),
		   void *arg)
{
	steer->drop = drop;
	steer->drop_arg = arg;
}

static void free_server(struct steer *steer, struct steer_server *server)
{
	if (steer->drop && server->data)
		steer->drop(steer->drop_arg, server->data);
	free(server);
}

static void free_object(struct steer *steer, struct object_entry *at)
{
	HASH_DEL(steer->objects, at);
	free(at);
}

void steer_destroy(struct steer *steer)
{
	struct steer_server *server, *next;
	struct upstream *upstream;

	if (!steer)
		return;
	while ((server = steer->servers)) {
		HASH_DEL(steer->servers, server);
		free_server(steer, server);
	}
	DL_FOREACH_SAFE(steer->unlisted, server, next)
	{
		free_server(steer, server);
	}
	while ((upstream = steer->upstreams)) {
		HASH_DEL(steer->upstreams, upstream);
		free(upstream->servers);
		free(upstream);
	}
	while (steer->objects)
		free_object(steer, steer->objects);
	need_destroy(steer->need);
	notice_store_destroy(steer->notices);
	free(steer);
}

/* ---- the table ---- */

static struct upstream *get_upstream(struct steer *steer, const char *name)
{
	struct upstream *at;

	HASH_FIND_STR(steer->upstreams, name, at);
	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	snprintf(at->name, sizeof(at->name), "%s", name);
	at->hash = (uint32_t)hash_text(name);
	at->near_share = -1;
	at->cached_ms = INITIAL_CACHED_MS;
	at->uncached_ms = INITIAL_UNCACHED_MS;
	at->plain_ms = INITIAL_CACHED_MS;
	HASH_ADD_STR(steer->upstreams, name, at);
	return at;
}

static int upstream_add(struct upstream *upstream, struct steer_server *server)
{
	struct steer_server **list;

	list = realloc(upstream->servers, (upstream->nr_servers +
					   1) * sizeof(struct steer_server *));
	if (!list)
		return -1;
	upstream->servers = list;
	list[upstream->nr_servers++] = server;
	return 0;
}

struct sync {
	struct steer *steer;
	const struct plan *plan;
	char *const *evacuated;
	size_t nr_evacuated;
	const Aw__Instance *const *instances;
	size_t nr_instances;
	bool failed;
};

/*
 * Returns the rank of this instance in the order in which instances may use a
 * cold server: instances of the server's region come first, otherwise the hash
 * decides. All instances compute the same order from the same list.
 */
static size_t cold_rank(const struct sync *sync,
			const struct steer_server *server)
{
	const struct steer *steer = sync->steer;
	bool near = !strcmp(steer->region, server->region);
	uint64_t own = hash_mix(server->hash ^ hash_text(steer->instance));
	size_t rank = 0;

	for (size_t i = 0; i < sync->nr_instances; i++) {
		const Aw__Instance *at = sync->instances[i];
		bool at_near = !strcmp(set_region(steer->cluster, at->zone),
				       server->region);

		if (!strcmp(at->name, steer->instance) ||
		    at->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE)
			continue;
		if (at_near != near)
			rank += at_near;
		else
			rank += hash_mix(server->hash ^ hash_text(at->name)) >
				own;
	}
	return rank;
}

static void set_cold(const struct sync *sync, struct steer_server *server,
		     uint64_t cold_until_ms)
{
	size_t nr = sync->nr_instances ? sync->nr_instances : 1;
	uint64_t at_ms = now_ms(sync->steer);

	if (nr > COLD_INSTANCES_MAX)
		nr = COLD_INSTANCES_MAX;
	if (server->cold_until_ms <= at_ms && cold_until_ms > at_ms) {
		server->cold_tokens = 1;
		server->cold_filled_ms = at_ms;
	}
	server->cold_until_ms = cold_until_ms;
	if (cold_until_ms <= at_ms)
		return;
	server->cold_allowed = cold_rank(sync, server) < nr;
	server->cold_per_ms =
		server->upstream->cold_milli_per_s / 1e6 / (double)nr;
}

static bool is_evacuated(const struct sync *sync, const char *zone)
{
	for (size_t i = 0; i < sync->nr_evacuated; i++)
		if (!strcmp(sync->evacuated[i], zone))
			return true;
	return false;
}

static struct steer_server *new_server(struct steer *steer,
				       const struct topo_server *from)
{
	struct steer_server *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	snprintf(server->id, sizeof(server->id), "%s", from->id);
	server->incarnation = from->incarnation;
	server->hash = hash_text(from->id);
	server->work_factor = 1;
	server->decayed_ms = now_ms(steer);
	notice_store_take(steer->notices, from->id, from->incarnation,
			  &server->notice);
	HASH_ADD_STR(steer->servers, id, server);
	return server;
}

static void store_notice(struct steer *steer, const struct steer_server *server)
{
	notice_store_put(steer->notices, server->id, server->incarnation,
			 &server->notice, now_ms(steer));
}

/*
 * Removes a server from the table. Its attempts in flight continue.
 */
static void unlist(struct steer *steer, struct steer_server *server)
{
	/* The analyzer assumes that the hash table is empty. */
	// NOLINTNEXTLINE(clang-analyzer-core.NullDereference)
	HASH_DEL(steer->servers, server);
	server->listed = false;
	store_notice(steer, server);
	if (server->in_flight)
		DL_APPEND(steer->unlisted, server);
	else
		free_server(steer, server);
}

static void sync_server(void *arg, const struct topo_server *from)
{
	struct sync *sync = arg;
	struct steer *steer = sync->steer;
	struct upstream *upstream = get_upstream(steer, from->upstream);
	const Aw__PlanUpstream *planned;
	struct steer_server *server;

	HASH_FIND_STR(steer->servers, from->id, server);
	/* A new process with the same id has an empty cache and no history. */
	if (server && (server->incarnation != from->incarnation ||
		       server->upstream != upstream)) {
		unlist(steer, server);
		server = NULL;
	}
	if (!server)
		server = new_server(steer, from);
	if (!upstream || !server) {
		sync->failed = true;
		return;
	}
	planned = plan_upstream(sync->plan, from->upstream);
	if (planned)
		upstream->cold_milli_per_s = planned->cold_milli_per_s;
	server->listed = true;
	server->upstream = upstream;
	snprintf(server->address, sizeof(server->address), "%s", from->address);
	snprintf(server->zone, sizeof(server->zone), "%s", from->zone);
	snprintf(server->region, sizeof(server->region), "%s",
		 set_region(steer->cluster, from->zone));
	server->slots = from->slots;
	server->silent = from->state == AW__SERVER_STATE__SERVER_SILENT;
	server->evacuated = is_evacuated(sync, from->zone);
	set_cold(sync, server, from->cold_until_ms);
	if (upstream_add(upstream, server))
		sync->failed = true;
}

/* ---- other instances ---- */

static void count_demand(struct steer *steer)
{
	struct upstream *upstream, *next_upstream;
	struct steer_server *server, *next;

	HASH_ITER(hh, steer->upstreams, upstream, next_upstream)
	{
		upstream->demand_now = 0;
	}
	HASH_ITER(hh, steer->servers, server, next)
	{
		server->upstream->demand_now += server->in_flight;
	}
}

size_t steer_demand(struct steer *steer, struct need_entry *entries, size_t max)
{
	struct upstream *upstream, *next;
	size_t nr = 0;

	count_demand(steer);
	HASH_ITER(hh, steer->upstreams, upstream, next)
	{
		if (!upstream->demand_now || nr == max)
			continue;
		entries[nr].upstream = upstream->hash;
		entries[nr++].in_flight = upstream->demand_now;
	}
	return nr;
}

void steer_peer_demand(struct steer *steer, const char *instance,
		       uint64_t incarnation, uint64_t sequence,
		       const struct need_entry *entries, size_t nr)
{
	need_receive(steer->need, instance, incarnation, sequence, entries, nr);
}

static void count_near_slots(struct steer *steer)
{
	struct steer_server *server, *next;
	struct upstream *upstream, *next_upstream;

	HASH_ITER(hh, steer->upstreams, upstream, next_upstream)
	{
		upstream->near_slots = 0;
	}
	HASH_ITER(hh, steer->servers, server, next)
	{
		if (!strcmp(server->region, steer->region) &&
		    !server->evacuated && !server->silent)
			server->upstream->near_slots += server->slots;
	}
}

/* ---- objects of the region ---- */

/*
 * Until the demand has been measured, all regions are assumed to have the same
 * demand.
 */
static double initial_near_share(const struct steer *steer,
				 const struct upstream *upstream)
{
	uint32_t slots = 0;

	for (size_t i = 0; i < upstream->nr_servers; i++)
		slots += upstream->servers[i]->slots;
	return slots ? (double)upstream->near_slots *
			       (double)steer->nr_regions / slots :
		       1;
}

static double clamp(double value, double least, double most)
{
	if (value < least)
		return least;
	return value > most ? most : value;
}

/*
 * A region with as many slots as the others keeps its objects even when it is
 * overloaded, since the others may be overloaded too. Without requests the
 * share stays as it is, since the next requests will cause about the same
 * demand as the last.
 */
static void update_near_share(struct steer *steer, struct upstream *upstream,
			      double passed_ms)
{
	double weight = 1 - exp(-passed_ms / DEMAND_FOLLOW_MS);
	double least = clamp(initial_near_share(steer, upstream), 0, 1);
	double capacity = NEAR_BUSY_MAX * upstream->near_slots;
	double step = steer->cluster->bounds.shift_permille / 1000.0 *
		      OBJECTS_SHIFT_SHARE * passed_ms / SHIFT_WINDOW_MS;
	double share, old = upstream->near_share;

	if (!upstream->demand_now) {
		if (upstream->had_demand)
			return;
		upstream->near_share = least;
		upstream->demand = least > 0 ? capacity / least : 0;
		return;
	}
	upstream->had_demand = true;
	upstream->demand += (upstream->demand_now - upstream->demand) * weight;
	share = clamp(capacity / upstream->demand, least, 1);
	/* An instance that joins adopts the share of the others at once. */
	if (old >= 0 && step > 0 && now_ms(steer) >= steer->startup_until_ms)
		share = clamp(share, old - step, old + step);
	upstream->near_share = share;
}

static void measure_demand(struct steer *steer)
{
	uint64_t at_ms = now_ms(steer);
	struct upstream *upstream, *next_upstream;

	count_demand(steer);
	HASH_ITER(hh, steer->upstreams, upstream, next_upstream)
	{
		upstream->demand_now += need_total(steer->need, upstream->hash);
		if (upstream->nr_servers)
			update_near_share(
				steer, upstream,
				(double)(at_ms - steer->demand_measured_ms));
	}
	steer->demand_measured_ms = at_ms;
}

int steer_sync(struct steer *steer, const struct topo *topo,
	       const struct plan *plan, char *const *evacuated_zones,
	       size_t nr_evacuated_zones)
{
	struct sync sync = { .steer = steer,
			     .plan = plan,
			     .evacuated = evacuated_zones,
			     .nr_evacuated = nr_evacuated_zones };
	struct steer_server *server, *next;
	struct upstream *upstream, *next_upstream;

	read_clock(steer);
	sync.instances = topo_instances(topo, &sync.nr_instances);
	HASH_ITER(hh, steer->servers, server, next)
	{
		server->listed = false;
	}
	HASH_ITER(hh, steer->upstreams, upstream, next_upstream)
	{
		upstream->nr_servers = 0;
	}
	topo_each(topo, sync_server, &sync);
	HASH_ITER(hh, steer->servers, server, next)
	{
		if (!server->listed)
			unlist(steer, server);
	}
	count_near_slots(steer);
	return sync.failed ? -1 : 0;
}

/* ---- expected times ---- */

static double rtt_ms(struct steer *steer, const struct steer_server *server)
{
	if (!strcmp(server->zone, steer->zone))
		return SAME_ZONE_RTT_MS;
	if (!strcmp(server->region, steer->region))
		return SAME_REGION_RTT_MS;
	for (size_t i = 0; i < steer->nr_region_rtts; i++)
		if (!strcmp(steer->region_rtts[i].region, server->region))
			return steer->region_rtts[i].ms;
	return INITIAL_OTHER_REGION_RTT_MS;
}

void steer_connected(struct steer *steer, struct steer_server *server,
		     uint32_t connect_ms)
{
	struct region_rtt *rtt = NULL;

	if (!strcmp(server->region, steer->region))
		return;
	for (size_t i = 0; i < steer->nr_region_rtts; i++)
		if (!strcmp(steer->region_rtts[i].region, server->region))
			rtt = &steer->region_rtts[i];
	if (!rtt) {
		if (steer->nr_region_rtts == SET_ZONES_MAX)
			return;
		rtt = &steer->region_rtts[steer->nr_region_rtts++];
		snprintf(rtt->region, sizeof(rtt->region), "%s",
			 server->region);
		rtt->ms = connect_ms;
	}
	rtt->ms += (connect_ms - rtt->ms) * RTT_WEIGHT;
}

static struct object_entry *find_object(const struct steer *steer,
					uint64_t object)
{
	struct object_entry *at;

	HASH_FIND(hh, steer->objects, &object, sizeof(object), at);
	return at;
}

static bool has_cached(const struct object_entry *entry,
		       const struct steer_server *server, uint64_t at_ms)
{
	for (size_t i = 0; entry && i < OBJECT_SERVERS_MAX; i++)
		if (entry->cached_at[i].server == server->hash &&
		    at_ms < entry->cached_at[i].used_ms + OBJECT_LIFETIME_MS)
			return true;
	return false;
}

static void record_cached(struct steer *steer, uint64_t object,
			  const struct steer_server *server)
{
	struct object_entry *at = find_object(steer, object);
	size_t slot = 0;

	if (!at) {
		at = calloc(1, sizeof(*at));
		/* Without memory the object only counts as not cached. */
		if (!at)
			return;
		at->object = object;
	} else {
		HASH_DEL(steer->objects, at);
	}
	at->used_ms = now_ms(steer);
	HASH_ADD(hh, steer->objects, object, sizeof(at->object), at);
	for (size_t i = 0; i < OBJECT_SERVERS_MAX; i++) {
		if (at->cached_at[i].server == server->hash) {
			slot = i;
			break;
		}
		if (at->cached_at[i].used_ms < at->cached_at[slot].used_ms)
			slot = i;
	}
	at->cached_at[slot].server = server->hash;
	at->cached_at[slot].used_ms = at->used_ms;
	if (HASH_COUNT(steer->objects) > OBJECTS_MAX)
		free_object(steer, steer->objects);
}

/*
 * The averages decay to normal with time, so that a server that was slow or
 * failed is tried again.
 */
static void decay_averages(struct steer *steer, struct steer_server *server)
{
	uint64_t at_ms = now_ms(steer);
	double keep;

	if (at_ms <= server->decayed_ms)
		return;
	keep = exp(-(double)(at_ms - server->decayed_ms) / DECAY_MS);
	server->decayed_ms = at_ms;
	server->work_factor = 1 + (server->work_factor - 1) * keep;
	server->failure_rate *= keep;
}

static double load_of(const struct steer *steer,
		      const struct steer_server *server)
{
	double age_ms = (double)(now_ms(steer) - server->load_at_ms);

	return server->in_flight +
	       server->others_in_flight * exp(-age_ms / OTHERS_DECAY_MS);
}

/*
 * An attempt that takes longer than the expected work shows that the server has
 * become slow, before there is a response.
 */
static double current_work_factor(const struct steer *steer,
				  const struct steer_server *server)
{
	double work_factor = server->work_factor, age_ms, expected;

	if (server->in_flight) {
		age_ms = (double)(now_ms(steer) - server->oldest_ms);
		expected = server->upstream->uncached_ms * 1.5;
		if (age_ms > expected && age_ms / expected > work_factor)
			work_factor = age_ms / expected;
	}
	return work_factor;
}

/*
 * Returns how long a request occupies a slot. Until this has been measured, all
 * requests are assumed to be cache hits.
 */
static double service_ms(const struct steer *steer,
			 const struct steer_server *server)
{
	double least = server->upstream->cached_ms *
		       current_work_factor(steer, server);

	return server->service_ms > least ? server->service_ms : least;
}

struct candidate {
	struct steer_server *server;
	uint64_t score; /* of the rendezvous hash */
	bool near;
	bool cached;
	enum steer_rank rank;
	bool preferred; /* handles the object most often */
	double work_ms;
	double wait_ms;
	double rtt_ms;
	double load;
	double cost_ms;
	bool other_region; /* not in the region that the object belongs to */
	bool healthy; /* as far as this instance knows */
};

static bool is_region_bound(const struct steer_query *query)
{
	return query->nr_regions || query->nr_more_regions;
}

static bool in_regions(char *const *regions, size_t nr, const char *region)
{
	if (!nr)
		return true;
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(regions[i], region))
			return true;
	return false;
}

static bool was_tried(const struct steer_query *query,
		      const struct steer_server *server)
{
	for (size_t i = 0; i < query->nr_tried; i++)
		if (query->tried[i] == server)
			return true;
	return false;
}

/*
 * Once the maximum number of coordinators has been queried, only the servers
 * that they replied about can be chosen. Of those with a limit it must then be
 * the one that the request has a permit for.
 */
static bool is_selectable(const struct steer_query *query,
			  const struct steer_server *server)
{
	if (query->nr_queried < STEER_QUERIED_MAX)
		return true;
	if (steer_server_is_limited(server) && query->permit_server &&
	    query->permit_server != (uint32_t)server->hash)
		return false;
	for (size_t i = 0; i < query->nr_queried; i++)
		if (query->queried[i] == (uint32_t)server->hash)
			return true;
	return false;
}

static bool is_usable(const struct steer_query *query,
		      const struct steer_server *server)
{
	return !server->replaced && !server->evacuated &&
	       !was_tried(query, server) && is_selectable(query, server) &&
	       in_regions(query->regions, query->nr_regions, server->region) &&
	       in_regions(query->more_regions, query->nr_more_regions,
			  server->region);
}

static enum notice_state notice_of(const struct steer *steer,
				   const struct steer_server *server)
{
	return notice_state(&server->notice, steer->cluster->bounds.drain_ms,
			    now_ms(steer));
}

static bool has_cold_token(const struct steer *steer,
			   struct steer_server *server)
{
	uint64_t at_ms = now_ms(steer);

	if (!server->cold_allowed)
		return false;
	server->cold_tokens +=
		server->cold_per_ms * (double)(at_ms - server->cold_filled_ms);
	server->cold_filled_ms = at_ms;
	if (server->cold_tokens > 1)
		server->cold_tokens = 1;
	return server->cold_tokens >= 1;
}

/*
 * The servers of an object by rendezvous hash: the first healthy ones of the
 * near and of the far servers. All instances see the same order. A request goes
 * to no other server, which would not have the object cached, need three times
 * the work and evict another object for it.
 */
struct ranks {
	uint64_t near[RANKED_SERVERS]; /* scores, the highest first */
	uint64_t far[RANKED_SERVERS];
	uint64_t first; /* score of the server that the object belongs to */
	/* Share of the slots of all candidates that is busy. */
	double busy_share;
};

static void insert_score(uint64_t scores[RANKED_SERVERS], uint64_t score)
{
	size_t at = RANKED_SERVERS;

	while (at && score > scores[at - 1])
		at--;
	if (at == RANKED_SERVERS)
		return;
	memmove(scores + at + 1, scores + at,
		(RANKED_SERVERS - at - 1) * sizeof(*scores));
	scores[at] = score;
}

static void add_score(struct ranks *ranks, const struct candidate *at)
{
	insert_score(at->near ? ranks->near : ranks->far, at->score);
}

static bool is_ranked(const struct ranks *ranks, const struct candidate *at)
{
	const uint64_t *scores = at->near ? ranks->near : ranks->far;

	for (size_t i = 0; i < RANKED_SERVERS; i++)
		if (scores[i] == at->score)
			return true;
	return false;
}

static enum steer_rank rank_of(const struct ranks *ranks,
			       const struct candidate *at)
{
	if (at->cached)
		return STEER_RANK_CACHED;
	if (at->score == ranks->first)
		return STEER_RANK_FIRST;
	if (at->near && at->score == ranks->near[1])
		return STEER_RANK_SECOND;
	if (at->score == ranks->near[0] || at->score == ranks->far[0])
		return STEER_RANK_FALLBACK;
	return STEER_RANK_OTHER;
}

static bool has_coord_reply(const struct steer *steer,
			    const struct steer_query *query,
			    const struct steer_server *server)
{
	return server->coord_reply_object == query->object &&
	       server->coord_reply_ms &&
	       now_ms(steer) < server->coord_reply_ms + COORD_REPLY_VALID_MS;
}

static void estimate_cost(struct steer *steer, const struct steer_query *query,
			  const struct ranks *ranks, struct candidate *at)
{
	struct steer_server *server = at->server;
	const struct upstream *upstream = server->upstream;
	double excess, cached = 0;

	if (query->has_object) {
		at->rank = rank_of(ranks, at);
		cached = cached_probability[at->rank];
		if (has_coord_reply(steer, query, server))
			cached = server->coord_reply_cached ? 1 : 0;
	}
	decay_averages(steer, server);
	at->work_ms = query->has_object ?
			      cached * upstream->cached_ms +
				      (1 - cached) * upstream->uncached_ms :
			      upstream->plain_ms;
	at->work_ms *= current_work_factor(steer, server);
	at->preferred = at->cached || !query->has_object ||
			at->score == ranks->first;
	at->load = load_of(steer, server);
	excess = at->load + 1 - server->slots;
	at->wait_ms = excess > 0 ? excess / server->slots *
					   service_ms(steer, server) :
				   0;
	at->rtt_ms = rtt_ms(steer, server);
	/* Establishing a connection takes another round trip. */
	if (!server->nr_idle)
		at->rtt_ms *= 2;
	at->cost_ms = at->rtt_ms + at->wait_ms + at->work_ms +
		      server->failure_rate * FAILURE_COST_MS;
	/*
	 * A server that has joined gets a first request although others have
	 * the objects cached; otherwise it would stay idle until all others are
	 * full.
	 */
	if (!server->attempted && at->wait_ms <= 0 && at->preferred)
		at->cost_ms -= at->work_ms;
	if (strcmp(server->zone, steer->zone) != 0)
		at->cost_ms +=
			(double)query->body_bytes / 1000 * OTHER_ZONE_MS_PER_KB;
	if (server->silent)
		at->cost_ms += SILENT_COST_MS;
	if (server->notice.leaving_ms)
		at->cost_ms += LEAVING_COST_MS;
	/* Cold servers work at half speed. */
	if (server->cold_until_ms > now_ms(steer))
		at->cost_ms += at->work_ms;
}

/*
 * Returns whether a request may be sent to the server: it may be queued only as
 * long as its response is still expected in time. One that finds a free slot at
 * a preferred server is sent even if it will be late.
 */
static bool may_send(const struct steer_query *query,
		     const struct candidate *at, double busy_share)
{
	double room_ms = (double)query->aim_left_ms - at->rtt_ms - at->work_ms;
	double share = query->priority > 1 ? WAIT_SHARE_LOW : WAIT_SHARE;

	/* The work varies from request to request; only the round-trip time is
	 * certain. */
	if (at->wait_ms <= 0)
		return 2 * at->rtt_ms < (double)query->left_ms &&
		       (at->preferred || room_ms >= 0 ||
			busy_share < SPILL_BUSY_MAX);
	return at->wait_ms <= room_ms * share;
}

static void fill_choice(const struct steer *steer, const struct candidate *best,
			struct steer_choice *choice)
{
	choice->expected_ms = (uint32_t)best->cost_ms;
	choice->wait_ms = (uint32_t)best->wait_ms;
	choice->load = (uint32_t)(best->load + 0.5);
	choice->slots = best->server->slots;
	choice->load_age_ms = best->server->load_at_ms ?
				      now_ms(steer) - best->server->load_at_ms :
				      0;
	choice->rank = best->rank;
	choice->other_region = best->other_region;
}

/*
 * Spreads the retries over the time in which part of the queued work is done,
 * so that the callers do not all retry at the same moment.
 */
static uint32_t retry_after(struct steer *steer, double wait_ms)
{
	double spread = 0.5 + erand48(steer->random_state);
	double ms = (RETRY_AFTER_MIN_MS + wait_ms) * spread;

	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t)ms;
}

static bool is_near(const struct steer *steer, const struct steer_query *query,
		    const struct steer_server *server)
{
	if (query->body_bytes >= LARGE_BODY_BYTES)
		return !strcmp(server->zone, steer->zone);
	return !strcmp(server->region, steer->region);
}

/*
 * The instances of a region measure about the same demand, so they agree on all
 * but a few objects, and a change of the demand moves only few objects.
 */
static bool is_near_object(const struct upstream *upstream,
			   const struct steer_query *query)
{
	uint64_t hash = hash_mix(query->object + UINT64_C(0x9e3779b97f4a7c15));
	double position = query->has_object ? (double)(hash >> 11) * 0x1p-53 :
					      query->draw;

	return upstream->near_share < 0 || position < upstream->near_share;
}

static void mark_other_region(const struct ranks *ranks,
			      struct candidate *candidates, size_t nr)
{
	const char *region = "";

	for (size_t i = 0; i < nr; i++)
		if (candidates[i].score == ranks->first)
			region = candidates[i].server->region;
	for (size_t i = 0; i < nr; i++)
		candidates[i].other_region =
			strcmp(candidates[i].server->region, region) != 0;
}

static bool is_unreached(const struct steer *steer,
			 const struct steer_server *server)
{
	return now_ms(steer) < server->unreached_until_ms;
}

static bool is_healthy(const struct steer *steer,
		       const struct steer_server *server)
{
	return !server->silent && !is_unreached(steer, server) &&
	       server->failure_rate < HEALTHY_FAILURE_RATE_MAX;
}

/*
 * Keeps only the servers of the object. Unhealthy servers are counted among
 * them only if there is no healthy one.
 */
static size_t filter_ranked(struct ranks *ranks,
			    const struct steer_query *query,
			    struct candidate *candidates, size_t nr)
{
	size_t kept = 0;

	for (size_t i = 0; i < nr; i++)
		if (candidates[i].healthy)
			add_score(ranks, &candidates[i]);
	if (!ranks->near[0] && !ranks->far[0])
		for (size_t i = 0; i < nr; i++)
			add_score(ranks, &candidates[i]);
	if (!query->has_object)
		return nr;
	for (size_t i = 0; i < nr; i++)
		if (candidates[i].cached || is_ranked(ranks, &candidates[i]))
			candidates[kept++] = candidates[i];
	return kept;
}

/* Why servers that could serve the request may not get it now. */
struct held_back {
	bool cold;
	uint64_t backoff_until_ms; /* the earliest end of a backoff, 0: none */
	bool limited;
	uint64_t permit_ms; /* if limited: the earliest time of a permit */
};

/*
 * Returns whether the server has a limit and the request cannot get a permit.
 */
static bool is_denied(const struct steer *steer,
		      const struct steer_query *query,
		      const struct steer_server *server)
{
	if (!steer_server_is_limited(server) ||
	    query->permit_server == (uint32_t)server->hash)
		return false;
	return query->denials_exhausted ||
	       now_ms(steer) < server->denied_until_ms;
}

static bool is_held_back(struct steer *steer, const struct steer_query *query,
			 struct steer_server *server,
			 struct held_back *held_back)
{
	uint64_t until_ms = server->notice.backoff_until_ms;

	switch (notice_of(steer, server)) {
	case NOTICE_LEFT:
		return true;
	case NOTICE_BACKOFF:
		if (!held_back->backoff_until_ms ||
		    until_ms < held_back->backoff_until_ms)
			held_back->backoff_until_ms = until_ms;
		return true;
	default:
		break;
	}
	if (is_denied(steer, query, server)) {
		if (!held_back->limited ||
		    server->permit_ms < held_back->permit_ms)
			held_back->permit_ms = server->permit_ms;
		held_back->limited = true;
		return true;
	}
	if (server->cold_until_ms <= now_ms(steer) ||
	    has_cold_token(steer, server))
		return false;
	held_back->cold = true;
	return true;
}

static double get_busy_share(const struct steer *steer,
			     const struct candidate *candidates, size_t nr)
{
	double load = 0, slots = 0;

	for (size_t i = 0; i < nr; i++) {
		const struct steer_server *server = candidates[i].server;
		double busy = load_of(steer, server);

		slots += server->slots;
		load += busy < server->slots ? busy : server->slots;
	}
	return slots > 0 ? load / slots : 1;
}

/*
 * Removes the servers that could not be reached, unless there are no others.
 */
static size_t remove_unreached(const struct steer *steer,
			       struct candidate *candidates, size_t nr)
{
	size_t kept = 0;

	for (size_t i = 0; i < nr; i++)
		if (!is_unreached(steer, candidates[i].server))
			candidates[kept++] = candidates[i];
	return kept ? kept : nr;
}

static size_t collect_candidates(struct steer *steer,
				 const struct steer_query *query,
				 const struct upstream *upstream,
				 struct candidate *candidates,
				 struct ranks *ranks,
				 struct held_back *held_back)
{
	const struct object_entry *entry =
		query->has_object ? find_object(steer, query->object) : NULL;
	uint64_t at_ms = now_ms(steer);
	size_t nr = 0;

	memset(ranks, 0, sizeof(*ranks));
	memset(held_back, 0, sizeof(*held_back));
	for (size_t i = 0; i < upstream->nr_servers; i++) {
		struct steer_server *server = upstream->servers[i];
		struct candidate *at = &candidates[nr];

		if (!is_usable(query, server) ||
		    is_held_back(steer, query, server, held_back))
			continue;
		memset(at, 0, sizeof(*at));
		at->server = server;
		at->score = hash_mix(query->object ^ server->hash);
		at->near = is_near(steer, query, server);
		at->cached = has_cached(entry, server, at_ms);
		at->healthy = is_healthy(steer, server);
		nr++;
	}
	nr = remove_unreached(steer, candidates, nr);
	ranks->busy_share = get_busy_share(steer, candidates, nr);
	nr = filter_ranked(ranks, query, candidates, nr);
	ranks->first = is_near_object(upstream, query) ? ranks->near[0] :
							 ranks->far[0];
	if (!ranks->first)
		ranks->first = ranks->near[0] + ranks->far[0];
	mark_other_region(ranks, candidates, nr);
	return nr;
}

struct best {
	/* In the region that the object belongs to. */
	struct candidate *same_region;
	struct candidate *other_region;
	bool region_healthy; /* a server of that region is healthy */
};

static struct best find_best(const struct steer_query *query, double busy_share,
			     struct candidate *candidates, size_t nr)
{
	struct best best = { 0 };

	for (size_t i = 0; i < nr; i++) {
		struct candidate *at = &candidates[i], **kept;

		if (!at->other_region && at->healthy)
			best.region_healthy = true;
		if (!may_send(query, at, busy_share))
			continue;
		kept = at->other_region ? &best.other_region :
					  &best.same_region;
		if (!*kept || at->cost_ms < (*kept)->cost_ms)
			*kept = at;
	}
	return best;
}

/*
 * Chooses the best server that may take the request. While the shift limit
 * keeps a request in its own region, it goes elsewhere only if no server there
 * is healthy.
 */
static struct candidate *choose_candidate(struct steer *steer,
					  const struct steer_query *query,
					  double busy_share,
					  struct candidate *candidates,
					  size_t nr, bool *shift_limited)
{
	struct best best = find_best(query, busy_share, candidates, nr);
	uint64_t at_ms = now_ms(steer);
	bool leaves, uses_other;

	*shift_limited = false;
	if (!best.same_region && !best.other_region)
		return NULL;
	leaves = best.other_region &&
		 (!best.same_region ||
		  best.other_region->cost_ms < best.same_region->cost_ms);
	if (is_region_bound(query) || !best.region_healthy)
		return leaves ? best.other_region : best.same_region;
	if (!steer->first_request_ms)
		steer->first_request_ms = at_ms;
	if (at_ms < steer->shift_exempt_until_ms ||
	    at_ms < steer->first_request_ms + SHIFT_WINDOW_MS)
		leaves = query->chosen_before ?
				 leaves :
				 shift_track(&steer->shift, leaves, at_ms);
	else if (query->chosen_before)
		leaves = shift_decide_again(&steer->shift, leaves, query->draw);
	else
		leaves =
			shift_decide(&steer->shift, leaves, query->draw, at_ms);
	uses_other = leaves && best.other_region;
	*shift_limited = !uses_other && !best.same_region;
	return uses_other ? best.other_region : best.same_region;
}

void steer_pick(struct steer *steer, const struct steer_query *query,
		struct steer_choice *choice)
{
	struct candidate *candidates, *best = NULL, *least = NULL;
	struct upstream *upstream;
	struct ranks ranks;
	struct held_back held_back;
	bool shift_limited;
	size_t nr;

	read_clock(steer);
	memset(choice, 0, sizeof(*choice));
	choice->verdict = STEER_NO_SERVER;
	choice->retry_after_ms = retry_after(steer, 0);
	HASH_FIND_STR(steer->upstreams, query->upstream, upstream);
	if (!upstream || !upstream->nr_servers)
		return;
	candidates = malloc(upstream->nr_servers * sizeof(*candidates));
	if (!candidates)
		return;
	nr = collect_candidates(steer, query, upstream, candidates, &ranks,
				&held_back);
	for (size_t i = 0; i < nr; i++) {
		struct candidate *at = &candidates[i];

		estimate_cost(steer, query, &ranks, at);
		if (!least || at->cost_ms < least->cost_ms)
			least = at;
	}
	best = choose_candidate(steer, query, ranks.busy_share, candidates, nr,
				&shift_limited);
	if (best) {
		fill_choice(steer, best, choice);
		choice->verdict = STEER_SEND;
		choice->server = best->server;
	} else if (least) {
		fill_choice(steer, least, choice);
		choice->verdict = shift_limited ? STEER_SHIFT : STEER_BUSY;
		choice->retry_after_ms = retry_after(steer, least->wait_ms);
	} else if (held_back.limited) {
		choice->verdict = STEER_LIMITED;
		choice->retry_after_ms = limit_returns_next(
			&upstream->returns, held_back.permit_ms,
			erand48(steer->random_state), now_ms(steer));
	} else if (held_back.cold) {
		choice->verdict = STEER_COLD;
	} else if (held_back.backoff_until_ms) {
		choice->verdict = STEER_BACKOFF;
		choice->retry_after_ms +=
			(uint32_t)(held_back.backoff_until_ms - now_ms(steer));
	}
	free(candidates);
}

/* ---- attempts ---- */

void steer_attempt_begin(struct steer *steer, struct steer_server *server,
			 const struct steer_query *query)
{
	uint64_t at_ms = read_clock(steer);

	if (!server->in_flight)
		server->oldest_ms = at_ms;
	server->in_flight++;
	server->attempted = true;
	if (server->cold_until_ms > at_ms)
		server->cold_tokens -= 1;
	if (steer_server_is_limited(server))
		limit_returns_count(&server->upstream->returns, at_ms);
	if (query->has_object)
		record_cached(steer, query->object, server);
}

/*
 * The first samples have more weight than later ones.
 */
static void learn_mean(double *mean, uint32_t *nr, double sample)
{
	double weight = 1.0 / ++*nr;

	if (weight < WORK_WEIGHT)
		weight = WORK_WEIGHT;
	*mean += (sample - *mean) * weight;
}

/*
 * The work of a deployment may be a tenth or ten times of the initial
 * estimates, so a mean without samples is derived from the other one.
 */
static double learn_object(struct upstream *upstream, bool cached,
			   double work_ms)
{
	double *mean = cached ? &upstream->cached_ms : &upstream->uncached_ms;

	learn_mean(mean, cached ? &upstream->nr_cached : &upstream->nr_uncached,
		   work_ms);
	if (!upstream->nr_cached)
		upstream->cached_ms = upstream->uncached_ms * CACHED_WORK_SHARE;
	if (!upstream->nr_uncached)
		upstream->uncached_ms = upstream->cached_ms / CACHED_WORK_SHARE;
	if (upstream->uncached_ms < upstream->cached_ms * 1.2)
		upstream->uncached_ms = upstream->cached_ms * 1.2;
	return *mean;
}

/*
 * Only requests that were not queued show how long the work takes. Requests
 * without an object may be of another kind and have a mean of their own.
 */
static enum coord_end_result learn_work(struct steer *steer,
					struct steer_server *server,
					const struct steer_query *query,
					double latency_ms,
					const struct steer_load *load)
{
	struct upstream *upstream = server->upstream;
	double work_ms = latency_ms - rtt_ms(steer, server);
	double middle = sqrt(upstream->cached_ms * upstream->uncached_ms);
	bool is_first = !upstream->nr_cached && !upstream->nr_uncached;
	double mean;
	bool cached;

	if (work_ms < 1 || (load->known && load->waiting))
		return COORD_CACHE_UNKNOWN;
	if (!query->has_object) {
		learn_mean(&upstream->plain_ms, &upstream->nr_plain, work_ms);
		return COORD_CACHE_UNKNOWN;
	}
	/* As soon as there is a mean to compare with, the duration is the best
	 * evidence of a cache hit. The first request for an object is a
	 * miss. */
	cached = !is_first && work_ms < middle;
	mean = learn_object(upstream, cached && !query->not_cached, work_ms);
	server->work_factor +=
		(work_ms / mean - server->work_factor) * WORK_FACTOR_WEIGHT;
	return cached ? COORD_CACHE_HIT : COORD_CACHE_MISS;
}

/*
 * With more requests than slots the time at the server grows with their number.
 * Scaled by that, it also measures servers that are never idle.
 */
static void learn_service(struct steer *steer, struct steer_server *server,
			  const struct steer_query *query,
			  const struct steer_attempt *attempt,
			  double latency_ms)
{
	double at_server_ms = latency_ms - rtt_ms(steer, server);
	double sample = at_server_ms;

	if (attempt->load + 1 > server->slots)
		sample *= (double)server->slots / (attempt->load + 1);
	if (sample < 1 || !query->has_object)
		return;
	if (server->service_ms <= 0)
		server->service_ms = sample;
	server->service_ms += (sample - server->service_ms) * SERVICE_WEIGHT;
}

static void update_load(struct steer *steer, struct steer_server *server,
			const struct steer_load *load)
{
	double total = load->running + load->waiting;

	server->load_at_ms = now_ms(steer);
	server->others_in_flight =
		total > server->in_flight ? total - server->in_flight : 0;
	if (load->slots)
		server->slots = load->slots;
}

enum coord_end_result steer_attempt_end(struct steer *steer,
					struct steer_server *server,
					const struct steer_query *query,
					enum steer_outcome outcome,
					const struct steer_attempt *attempt,
					const struct steer_load *load)
{
	enum coord_end_result end = COORD_CACHE_UNKNOWN;
	uint64_t at_ms = read_clock(steer);
	bool failed = false;
	double latency_ms;

	server->in_flight--;
	/* The exact order is not tracked; this underestimates the age of the
	 * oldest attempt. */
	if (server->oldest_ms <= attempt->sent_ms)
		server->oldest_ms = at_ms;
	decay_averages(steer, server);
	if (load->known)
		update_load(steer, server, load);
	switch (outcome) {
	case STEER_SUCCESS:
		server->unreached_until_ms = 0;
		latency_ms =
			(double)(at_ms - attempt->sent_ms) - attempt->link_ms;
		end = learn_work(steer, server, query, latency_ms, load);
		learn_service(steer, server, query, attempt, latency_ms);
		break;
	case STEER_SHED:
		/* A server that sheds load with slots free is failing. */
		failed = load->known && load->running < load->slots;
		break;
	case STEER_FAILURE:
		failed = true;
		break;
	case STEER_BROKEN_CONNECTION:
		failed = true;
		steer->shift_exempt_until_ms = at_ms + SHIFT_EXEMPT_MS;
		break;
	case STEER_UNREACHED:
		steer_server_set_unreached(steer, server, true);
		steer->shift_exempt_until_ms = at_ms + SHIFT_EXEMPT_MS;
		break;
	case STEER_REPLACED:
		server->replaced = true;
		break;
	case STEER_WITHDRAWN:
	case STEER_CANCELLED:
		break;
	}
	if (outcome != STEER_CANCELLED && outcome != STEER_WITHDRAWN)
		server->failure_rate +=
			((failed ? 1 : 0) - server->failure_rate) *
			FAILURE_WEIGHT;
	if (server->listed || server->in_flight)
		return end;
	DL_DELETE(steer->unlisted, server);
	free_server(steer, server);
	return end;
}

/* ---- replies of coordinators ---- */

static void clear_cached(const struct steer *steer, uint64_t object,
			 const struct steer_server *server)
{
	struct object_entry *at = find_object(steer, object);

	for (size_t i = 0; at && i < OBJECT_SERVERS_MAX; i++)
		if (at->cached_at[i].server == server->hash)
			at->cached_at[i] = (struct object_server){ 0 };
}

/*
 * What was denied under another limit may be granted now.
 */
static bool update_limit(struct steer_server *server,
			 const struct limit *observed)
{
	bool changed = limit_update(&server->limit, observed);

	if (changed)
		server->denied_until_ms = 0;
	return changed;
}

static void set_denied(const struct steer *steer, struct steer_server *server,
		       uint32_t wait_ms)
{
	server->permit_ms = now_ms(steer) + wait_ms;
	server->denied_until_ms =
		now_ms(steer) +
		(wait_ms < DENIED_MAX_MS ? wait_ms : DENIED_MAX_MS);
}

void steer_coord_reply(struct steer *steer, struct steer_server *server,
		       const struct steer_query *query,
		       const struct coord_reply *reply)
{
	server->load_at_ms = server->coord_reply_ms = read_clock(steer);
	update_limit(server, &reply->limit);
	if (reply->permit == COORD_PERMIT_DENIED)
		set_denied(steer, server, reply->retry_ms);
	server->coord_reply_object = query->object;
	server->coord_reply_cached = reply->cached;
	server->others_in_flight =
		reply->in_flight > server->in_flight ?
			reply->in_flight - server->in_flight :
			0;
	if (!query->has_object)
		return;
	if (reply->cached)
		record_cached(steer, query->object, server);
	else
		clear_cached(steer, query->object, server);
}

bool steer_is_reported_uncached(struct steer *steer,
				const struct steer_server *server,
				const struct steer_query *query)
{
	read_clock(steer);
	return query->has_object && has_coord_reply(steer, query, server) &&
	       !server->coord_reply_cached;
}

bool steer_wants_connection(struct steer *steer,
			    const struct steer_server *server)
{
	read_clock(steer);
	return server->listed && !server->evacuated && !server->replaced &&
	       strcmp(server->region, steer->region) != 0 &&
	       is_healthy(steer, server) &&
	       notice_of(steer, server) == NOTICE_NONE;
}

/* ---- notices ---- */

/*
 * The response may come after the table has dropped the server and has listed
 * the same process again.
 */
static struct steer_server *find_listed(const struct steer *steer,
					struct steer_server *server)
{
	struct steer_server *at;

	if (server->listed)
		return server;
	HASH_FIND_STR(steer->servers, server->id, at);
	return at && at->incarnation == server->incarnation ? at : server;
}

bool steer_server_set_leaving(struct steer *steer, struct steer_server *server)
{
	uint64_t at_ms = read_clock(steer);
	bool is_first;

	server = find_listed(steer, server);
	is_first = notice_leave(&server->notice, at_ms);
	if (!server->listed)
		store_notice(steer, server);
	return is_first;
}

bool steer_server_set_backoff(struct steer *steer, struct steer_server *server,
			      uint32_t backoff_ms)
{
	uint64_t at_ms = read_clock(steer);
	bool is_first;

	server = find_listed(steer, server);
	is_first = at_ms >= server->notice.backoff_until_ms;
	notice_backoff(&server->notice, backoff_ms,
		       erand48(steer->random_state), at_ms);
	if (!server->listed)
		store_notice(steer, server);
	return is_first;
}

bool steer_server_update_limit(struct steer *steer, struct steer_server *server,
			       const struct limit *observed)
{
	return update_limit(find_listed(steer, server), observed);
}

const struct limit *steer_server_limit(const struct steer_server *server)
{
	return &server->limit;
}

bool steer_server_is_limited(const struct steer_server *server)
{
	return server->limit.state == LIMIT_NAMED;
}

/*
 * The first permit comes at a random part of the time between two, so that all
 * instances together keep the limit from the start.
 */
bool steer_take_own_permit(struct steer *steer, struct steer_server *server,
			   uint32_t nr_instances)
{
	struct limit_bucket *permits = &server->own_permits;
	uint64_t at_ms = read_clock(steer);
	uint32_t wait_ms;

	if (at_ms >= permits->filled_ms + OWN_PERMIT_LIFETIME_MS)
		limit_bucket_start(permits, erand48(steer->random_state),
				   at_ms);
	wait_ms =
		limit_bucket_take(permits, &server->limit, nr_instances, at_ms);
	if (wait_ms)
		set_denied(steer, server, wait_ms);
	return !wait_ms;
}

bool steer_server_is_leaving(struct steer *steer,
			     const struct steer_server *server)
{
	enum notice_state state;

	read_clock(steer);
	state = notice_of(steer, server);
	return state == NOTICE_LEAVING || state == NOTICE_LEFT;
}

bool steer_server_is_cold(struct steer *steer,
			  const struct steer_server *server)
{
	return server->cold_until_ms > read_clock(steer);
}

bool steer_may_send(struct steer *steer, const struct steer_server *server)
{
	enum notice_state state;

	read_clock(steer);
	state = notice_of(steer, server);
	return state != NOTICE_LEFT && state != NOTICE_BACKOFF;
}

void steer_server_set_unreached(struct steer *steer,
				struct steer_server *server, bool unreached)
{
	server->unreached_until_ms =
		unreached ? read_clock(steer) + UNREACHED_AVOID_MS : 0;
}

bool steer_server_is_unreached(struct steer *steer,
			       const struct steer_server *server)
{
	read_clock(steer);
	return is_unreached(steer, server);
}

void steer_tick(struct steer *steer)
{
	uint64_t at_ms = read_clock(steer);

	need_tick(steer->need);
	measure_demand(steer);
	while (steer->objects &&
	       at_ms >= steer->objects->used_ms + OBJECT_LIFETIME_MS)
		free_object(steer, steer->objects);
}

/* ---- access ---- */

struct steer_server *steer_find(const struct steer *steer, const char *id)
{
	struct steer_server *at;

	HASH_FIND_STR(steer->servers, id, at);
	return at;
}

uint32_t steer_rtt_ms(struct steer *steer, const struct steer_server *server)
{
	return (uint32_t)rtt_ms(steer, server);
}

const char *steer_server_id(const struct steer_server *server)
{
	return server->id;
}

const char *steer_server_address(const struct steer_server *server)
{
	return server->address;
}

const char *steer_server_region(const struct steer_server *server)
{
	return server->region;
}

uint32_t steer_server_hash(const struct steer_server *server)
{
	return (uint32_t)server->hash;
}

uint32_t steer_upstream_hash(const struct steer_server *server)
{
	return server->upstream->hash;
}

void steer_server_set_idle(struct steer_server *server, size_t nr_idle)
{
	server->nr_idle = nr_idle;
}

size_t steer_server_idle(const struct steer_server *server)
{
	return server->nr_idle;
}

uint64_t steer_server_incarnation(const struct steer_server *server)
{
	return server->incarnation;
}

const char *steer_server_zone(const struct steer_server *server)
{
	return server->zone;
}

void *steer_server_data(const struct steer_server *server)
{
	return server->data;
}

void steer_server_set_data(struct steer_server *server, void *data)
{
	server->data = data;
}
