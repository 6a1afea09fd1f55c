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

/* First guesses, replaced by what is measured. Work on an object that the
 * server knows takes about a third. */
#define WARM_MS 350.0
#define COLD_MS 1000.0
#define WARM_PART (1.0 / 3)
#define SAME_ZONE_MS 1.0
#define SAME_REGION_MS 3.0
#define OTHER_REGION_MS 90.0

/* Weights of the newest sample in moving averages. */
#define WORK_WEIGHT 0.05
#define FACTOR_WEIGHT 0.25
#define FAILURE_WEIGHT 0.15
#define WAY_WEIGHT 0.2
#define SERVICE_WEIGHT 0.1

/* A failure costs the caller about a retry after its time to come back. */
#define FAILURE_MS 2000.0
/* Averages of a server move back to normal with this time, so that it is tried
 * again. */
#define FORGIVE_MS 4000.0
/* After a failed connection a server is the last choice for this time. */
#define UNREACHED_MS 1500
/* What other instances have sent is forgotten with this time. */
#define OTHERS_MS 1500.0
/* Traffic may move at once while servers are lost: their requests have to run
 * somewhere. */
#define DISTURBED_MS 3000
/* A process that starts learns of the servers one by one. */
#define START_MS 6000
/* A server that leaves loses what it knows; others take its work over. */
#define LEAVING_MS 3000.0
/* Heartbeats of a silent server are missing: most often it is dead. */
#define SILENT_MS 3000.0
/* How likely a server knows an object, by its place. */
static const double likely[STEER_PLACE_COUNT] = {
	[STEER_PLACE_OTHER] = 0,   [STEER_PLACE_KNOWN] = 1,
	[STEER_PLACE_FIRST] = 0.8, [STEER_PLACE_SECOND] = 0.3,
	[STEER_PLACE_NEXT] = 0.3,
};

/* Part of the time left for the answer that may pass in a server's queue;
 * the rest covers the spread of the work. */
#define WAIT_SHARE 0.85
/* Less urgent requests leave room in the queue to more urgent ones. */
#define WAIT_SHARE_LOW 0.75
/* A server that does not know the object needs three times the work, so a
 * request goes to such a one out of time only while so many slots are busy. */
#define SPILL_USED_MAX 0.7
/* Cold servers are shared by so many instances at most; each may send one
 * request at once beside its part of the rate. */
#define COLD_INSTANCES_MAX 4

/* Counts of another instance are forgotten after this time; it repeats them
 * four times a second. */
#define PEER_MS 800

/* Part of the slots of the near servers that the objects of the region may
 * need on average. Objects above that belong to far servers: a server that is
 * asked for more than it can keep in mind knows none. */
#define NEAR_USED_MAX 0.7
/* Time in which the measured need follows a change. */
#define NEED_MS 2000.0
/* Part of the limit on movements that objects use in a window when they change
 * their region; the rest is for single requests (see shift.c). */
#define OBJECTS_SHIFT_PART 0.15

/* Bytes between zones cost money: a body is worth a wait of so long. */
#define OTHER_ZONE_MS_PER_KB 4.0
/* Objects with bodies from this size on have their servers in the zone. */
#define LARGE_BODY_BYTES 16384

/* Servers that an object is sent to in the region of the instance, and as many
 * in all others: the second bears what the first cannot, the third a lost
 * one. */
#define OBJECT_SERVERS 3
/* A server with more failures is not counted among them. */
#define WORKS_FAILURES_MAX 0.5
/* What a coordinator told is as good as new for this time. */
#define TOLD_MS 300

#define MEMORY_MS 30000 /* a server that handled an object stays warm */
#define MEMORY_MAX 50000 /* objects */
#define MEMORY_SERVERS 3 /* of an object */

#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_MAX_MS 1200

struct upstream {
	char name[NAME_BYTES_MAX];
	uint32_t hash;
	struct steer_server **servers;
	size_t nr_servers;
	/* Work on objects that the server knows, and on others. */
	double warm_ms;
	double cold_ms;
	uint32_t nr_warm; /* requests that they are known from */
	uint32_t nr_cold;
	double plain_ms; /* work of requests without an object */
	uint32_t nr_plain;
	uint32_t cold_milli_per_s;
	uint32_t near_slots;
	/* Requests of the region under way anywhere, now and on average. */
	uint32_t need_now;
	double need;
	bool is_needed; /* there were requests */
	double near_part; /* of the objects that belongs to near servers */
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
	bool listed; /* in the table */
	bool silent;
	bool evacuated;
	bool gone; /* another server has its address */
	bool used; /* a request was sent to it from here */
	size_t nr_idle; /* connections to it that can be used at once */
	struct notice notice;
	uint64_t told_ms; /* when its coordinator last told of it */
	uint64_t told_object;
	bool told_knows;
	uint64_t cold_until_ms;
	bool cold_allowed; /* this instance may use it while it is cold */
	double cold_tokens;
	double cold_per_ms;
	uint64_t cold_filled_ms;
	uint32_t inflight; /* sent from here */
	uint64_t oldest_ms; /* when the first of them was sent */
	double others; /* requests of other instances, by its own word */
	uint64_t load_ms; /* when the server last said its load */
	double service_ms; /* a request occupies a slot for; 0: not known */
	double factor; /* its work compared with the mean of the upstream */
	double failures; /* share of failed requests */
	uint64_t judged_ms; /* when the averages were last moved back */
	uint64_t unreached_until_ms;
	void *data;
	UT_hash_handle hh;
	struct steer_server *prev, *next; /* unlisted ones with requests */
};

struct memory_place {
	uint64_t server; /* hash */
	uint64_t used_ms;
};

/* Servers that handled an object lately. */
struct memory {
	uint64_t object;
	struct memory_place places[MEMORY_SERVERS];
	uint64_t used_ms;
	UT_hash_handle hh; /* oldest first */
};

struct way {
	char region[NAME_BYTES_MAX];
	double ms;
};

struct steer {
	struct clk *clk;
	uint64_t at_ms; /* the clock at the running call */
	const struct set_cluster *cluster;
	char zone[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
	char instance[NAME_BYTES_MAX];
	struct upstream *upstreams;
	struct steer_server *servers; /* by id */
	struct steer_server *unlisted;
	struct need *need; /* of the other instances of the region */
	size_t nr_regions;
	struct memory *memory;
	struct notice_store *notices; /* of servers that are not listed */
	struct shift shift;
	uint64_t measured_ms; /* when the need was last measured */
	uint64_t joined_ms; /* the start is over by then */
	uint64_t first_ms; /* when the first request came */
	uint64_t disturbed_until_ms; /* servers were lost shortly before */
	struct way ways[SET_ZONES_MAX]; /* to other regions */
	size_t nr_ways;
	unsigned short random_state[3];
	void (*drop)(void *arg, void *data);
	void *drop_arg;
};

const char *steer_verdict_name(enum steer_verdict verdict)
{
	static const char *const names[] = {
		[STEER_SEND] = "send",	 [STEER_NO_SERVER] = "no_server",
		[STEER_BUSY] = "busy",	 [STEER_COLD] = "cold",
		[STEER_SHIFT] = "shift", [STEER_PAUSED] = "paused",
	};

	return names[verdict];
}

const char *steer_outcome_name(enum steer_outcome outcome)
{
	static const char *const names[] = {
		[STEER_SUCCESS] = "success", [STEER_FAILURE] = "failure",
		[STEER_SHED] = "shed",	     [STEER_UNREACHED] = "unreached",
		[STEER_GONE] = "gone",	     [STEER_CANCELLED] = "cancelled",
		[STEER_BROKEN] = "broken",   [STEER_WITHDRAWN] = "withdrawn",
	};

	return names[outcome];
}

/*
 * The clock is read once for each call from outside: a choice looks at the time
 * several times for each of hundreds of servers.
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
	steer->measured_ms = now_ms(steer);
	steer->joined_ms = now_ms(steer) + START_MS;
	steer->disturbed_until_ms = steer->joined_ms;
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

static void free_memory(struct steer *steer, struct memory *at)
{
	HASH_DEL(steer->memory, at);
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
	while (steer->memory)
		free_memory(steer, steer->memory);
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
	at->near_part = -1;
	at->warm_ms = WARM_MS;
	at->cold_ms = COLD_MS;
	at->plain_ms = WARM_MS;
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
 * Place of this instance in the order in which instances may use a cold
 * server: those of its region first, else by hash. All instances compute the
 * same order from the same list.
 */
static size_t cold_place(const struct sync *sync,
			 const struct steer_server *server)
{
	const struct steer *steer = sync->steer;
	bool near = !strcmp(steer->region, server->region);
	uint64_t own = hash_mix(server->hash ^ hash_text(steer->instance));
	size_t place = 0;

	for (size_t i = 0; i < sync->nr_instances; i++) {
		const Aw__Instance *at = sync->instances[i];
		bool at_near = !strcmp(set_region(steer->cluster, at->zone),
				       server->region);

		if (!strcmp(at->name, steer->instance) ||
		    at->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE)
			continue;
		if (at_near != near)
			place += at_near;
		else
			place += hash_mix(server->hash ^ hash_text(at->name)) >
				 own;
	}
	return place;
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
	server->cold_allowed = cold_place(sync, server) < nr;
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
	server->factor = 1;
	server->judged_ms = now_ms(steer);
	notice_store_take(steer->notices, from->id, from->incarnation,
			  &server->notice);
	HASH_ADD_STR(steer->servers, id, server);
	return server;
}

static void keep_notice(struct steer *steer, const struct steer_server *server)
{
	notice_store_put(steer->notices, server->id, server->incarnation,
			 &server->notice, now_ms(steer));
}

/*
 * Takes a server out of the table. Its requests go on.
 */
static void unlist(struct steer *steer, struct steer_server *server)
{
	/* The analyzer takes the list of the table for empty. */
	// NOLINTNEXTLINE(clang-analyzer-core.NullDereference)
	HASH_DEL(steer->servers, server);
	server->listed = false;
	keep_notice(steer, server);
	if (server->inflight)
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
	/* A new life under the same id knows nothing of the old one. */
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

static void count_need(struct steer *steer)
{
	struct upstream *upstream, *next_upstream;
	struct steer_server *server, *next;

	HASH_ITER(hh, steer->upstreams, upstream, next_upstream)
	{
		upstream->need_now = 0;
	}
	HASH_ITER(hh, steer->servers, server, next)
	{
		server->upstream->need_now += server->inflight;
	}
}

size_t steer_needs(struct steer *steer, struct need_entry *needs, size_t max)
{
	struct upstream *upstream, *next;
	size_t nr = 0;

	count_need(steer);
	HASH_ITER(hh, steer->upstreams, upstream, next)
	{
		if (!upstream->need_now || nr == max)
			continue;
		needs[nr].upstream = upstream->hash;
		needs[nr++].running = upstream->need_now;
	}
	return nr;
}

void steer_peer_needs(struct steer *steer, const char *instance,
		      uint64_t incarnation, uint64_t sequence,
		      const struct need_entry *needs, size_t nr)
{
	need_hear(steer->need, instance, incarnation, sequence, needs, nr);
}

static void count_slots(struct steer *steer)
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
 * Before the need has been seen, each region is taken to need as much.
 */
static double first_part(const struct steer *steer,
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
 * A region with as many slots as the others keeps its objects also when it is
 * overrun: the others may be overrun as well. Without requests the part stays
 * as it is: the next ones will need as much as the last.
 */
static void follow_need(struct steer *steer, struct upstream *upstream,
			double passed_ms)
{
	double follow = 1 - exp(-passed_ms / NEED_MS);
	double least = clamp(first_part(steer, upstream), 0, 1);
	double room = NEAR_USED_MAX * upstream->near_slots;
	double step = steer->cluster->bounds.shift_permille / 1000.0 *
		      OBJECTS_SHIFT_PART * passed_ms / SHIFT_WINDOW_MS;
	double part, old = upstream->near_part;

	if (!upstream->need_now) {
		if (upstream->is_needed)
			return;
		upstream->near_part = least;
		upstream->need = least > 0 ? room / least : 0;
		return;
	}
	upstream->is_needed = true;
	upstream->need += (upstream->need_now - upstream->need) * follow;
	part = clamp(room / upstream->need, least, 1);
	/* An instance that joins others takes their part over. */
	if (old >= 0 && step > 0 && now_ms(steer) >= steer->joined_ms)
		part = clamp(part, old - step, old + step);
	upstream->near_part = part;
}

static void measure_need(struct steer *steer)
{
	uint64_t at_ms = now_ms(steer);
	struct upstream *upstream, *next_upstream;

	count_need(steer);
	HASH_ITER(hh, steer->upstreams, upstream, next_upstream)
	{
		upstream->need_now += need_total(steer->need, upstream->hash);
		if (upstream->nr_servers)
			follow_need(steer, upstream,
				    (double)(at_ms - steer->measured_ms));
	}
	steer->measured_ms = at_ms;
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
	count_slots(steer);
	return sync.failed ? -1 : 0;
}

/* ---- expected times ---- */

static double way_ms(struct steer *steer, const struct steer_server *server)
{
	if (!strcmp(server->zone, steer->zone))
		return SAME_ZONE_MS;
	if (!strcmp(server->region, steer->region))
		return SAME_REGION_MS;
	for (size_t i = 0; i < steer->nr_ways; i++)
		if (!strcmp(steer->ways[i].region, server->region))
			return steer->ways[i].ms;
	return OTHER_REGION_MS;
}

void steer_connected(struct steer *steer, struct steer_server *server,
		     uint32_t connect_ms)
{
	struct way *way = NULL;

	if (!strcmp(server->region, steer->region))
		return;
	for (size_t i = 0; i < steer->nr_ways; i++)
		if (!strcmp(steer->ways[i].region, server->region))
			way = &steer->ways[i];
	if (!way) {
		if (steer->nr_ways == SET_ZONES_MAX)
			return;
		way = &steer->ways[steer->nr_ways++];
		snprintf(way->region, sizeof(way->region), "%s",
			 server->region);
		way->ms = connect_ms;
	}
	way->ms += (connect_ms - way->ms) * WAY_WEIGHT;
}

static struct memory *find_memory(const struct steer *steer, uint64_t object)
{
	struct memory *at;

	HASH_FIND(hh, steer->memory, &object, sizeof(object), at);
	return at;
}

static bool remembers(const struct memory *memory,
		      const struct steer_server *server, uint64_t at_ms)
{
	for (size_t i = 0; memory && i < MEMORY_SERVERS; i++)
		if (memory->places[i].server == server->hash &&
		    at_ms < memory->places[i].used_ms + MEMORY_MS)
			return true;
	return false;
}

static void remember(struct steer *steer, uint64_t object,
		     const struct steer_server *server)
{
	struct memory *at = find_memory(steer, object);
	size_t slot = 0;

	if (!at) {
		at = calloc(1, sizeof(*at));
		/* Without it the object only counts as not handled yet. */
		if (!at)
			return;
		at->object = object;
	} else {
		HASH_DEL(steer->memory, at);
	}
	at->used_ms = now_ms(steer);
	HASH_ADD(hh, steer->memory, object, sizeof(at->object), at);
	for (size_t i = 0; i < MEMORY_SERVERS; i++) {
		if (at->places[i].server == server->hash) {
			slot = i;
			break;
		}
		if (at->places[i].used_ms < at->places[slot].used_ms)
			slot = i;
	}
	at->places[slot].server = server->hash;
	at->places[slot].used_ms = at->used_ms;
	if (HASH_COUNT(steer->memory) > MEMORY_MAX)
		free_memory(steer, steer->memory);
}

/*
 * Averages move back to normal with time, so that a server that was slow or
 * failed is tried again.
 */
static void forgive(struct steer *steer, struct steer_server *server)
{
	uint64_t at_ms = now_ms(steer);
	double keep;

	if (at_ms <= server->judged_ms)
		return;
	keep = exp(-(double)(at_ms - server->judged_ms) / FORGIVE_MS);
	server->judged_ms = at_ms;
	server->factor = 1 + (server->factor - 1) * keep;
	server->failures *= keep;
}

static double load_of(const struct steer *steer,
		      const struct steer_server *server)
{
	double age_ms = (double)(now_ms(steer) - server->load_ms);

	return server->inflight + server->others * exp(-age_ms / OTHERS_MS);
}

/*
 * A request that has been at the server for longer than its work should take
 * shows that the server has become slow before any answer does.
 */
static double factor_of(const struct steer *steer,
			const struct steer_server *server)
{
	double factor = server->factor, age_ms, expected;

	if (server->inflight) {
		age_ms = (double)(now_ms(steer) - server->oldest_ms);
		expected = server->upstream->cold_ms * 1.5;
		if (age_ms > expected && age_ms / expected > factor)
			factor = age_ms / expected;
	}
	return factor;
}

/*
 * How long a request occupies a slot. Before it has been seen, all requests
 * are taken to find their object known.
 */
static double service_ms(const struct steer *steer,
			 const struct steer_server *server)
{
	double least = server->upstream->warm_ms * factor_of(steer, server);

	return server->service_ms > least ? server->service_ms : least;
}

struct candidate {
	struct steer_server *server;
	uint64_t score; /* of the rendezvous hash */
	bool near;
	bool warm;
	enum steer_place place;
	bool is_home; /* the server that handles the object most often */
	double work_ms;
	double wait_ms;
	double way_ms;
	double load;
	double cost_ms;
	bool moved; /* not in the region of the object */
	bool works; /* as far as is known */
};

static bool is_bound(const struct steer_query *query)
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
 * Once coordinators have been asked about several servers the choice is among
 * those.
 */
static bool is_open(const struct steer_query *query,
		    const struct steer_server *server)
{
	if (query->nr_asked < STEER_ASKED_MAX)
		return true;
	for (size_t i = 0; i < query->nr_asked; i++)
		if (query->asked[i] == (uint32_t)server->hash)
			return true;
	return false;
}

static bool is_usable(const struct steer_query *query,
		      const struct steer_server *server)
{
	return !server->gone && !server->evacuated &&
	       !was_tried(query, server) && is_open(query, server) &&
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
 * The servers of an object, by rendezvous hash: the first of the near and of
 * the far ones that work. All instances see the same order. A request goes to
 * no others: a server that does not know an object needs three times the work,
 * and it forgets another one for it.
 */
struct ranks {
	uint64_t near[OBJECT_SERVERS]; /* scores, the highest first */
	uint64_t far[OBJECT_SERVERS];
	uint64_t first; /* of the two the one that the object belongs to */
	double used; /* part of the slots of all servers that is busy */
};

static void note_score(uint64_t scores[OBJECT_SERVERS], uint64_t score)
{
	size_t at = OBJECT_SERVERS;

	while (at && score > scores[at - 1])
		at--;
	if (at == OBJECT_SERVERS)
		return;
	memmove(scores + at + 1, scores + at,
		(OBJECT_SERVERS - at - 1) * sizeof(*scores));
	scores[at] = score;
}

static void note_rank(struct ranks *ranks, const struct candidate *at)
{
	note_score(at->near ? ranks->near : ranks->far, at->score);
}

static bool is_ranked(const struct ranks *ranks, const struct candidate *at)
{
	const uint64_t *scores = at->near ? ranks->near : ranks->far;

	for (size_t i = 0; i < OBJECT_SERVERS; i++)
		if (scores[i] == at->score)
			return true;
	return false;
}

static enum steer_place place_of(const struct ranks *ranks,
				 const struct candidate *at)
{
	if (at->warm)
		return STEER_PLACE_KNOWN;
	if (at->score == ranks->first)
		return STEER_PLACE_FIRST;
	if (at->near && at->score == ranks->near[1])
		return STEER_PLACE_SECOND;
	if (at->score == ranks->near[0] || at->score == ranks->far[0])
		return STEER_PLACE_NEXT;
	return STEER_PLACE_OTHER;
}

static bool is_told(const struct steer *steer, const struct steer_query *query,
		    const struct steer_server *server)
{
	return server->told_object == query->object && server->told_ms &&
	       now_ms(steer) < server->told_ms + TOLD_MS;
}

static void estimate(struct steer *steer, const struct steer_query *query,
		     const struct ranks *ranks, struct candidate *at)
{
	struct steer_server *server = at->server;
	const struct upstream *upstream = server->upstream;
	double over, known = 0;

	if (query->has_object) {
		at->place = place_of(ranks, at);
		known = likely[at->place];
		if (is_told(steer, query, server))
			known = server->told_knows ? 1 : 0;
	}
	forgive(steer, server);
	at->work_ms = query->has_object ?
			      known * upstream->warm_ms +
				      (1 - known) * upstream->cold_ms :
			      upstream->plain_ms;
	at->work_ms *= factor_of(steer, server);
	at->is_home = at->warm || !query->has_object ||
		      at->score == ranks->first;
	at->load = load_of(steer, server);
	over = at->load + 1 - server->slots;
	at->wait_ms =
		over > 0 ? over / server->slots * service_ms(steer, server) : 0;
	at->way_ms = way_ms(steer, server);
	/* A new connection takes another round trip. */
	if (!server->nr_idle)
		at->way_ms *= 2;
	at->cost_ms = at->way_ms + at->wait_ms + at->work_ms +
		      server->failures * FAILURE_MS;
	/*
	 * A server that joined gets its first request, although others know
	 * the objects better; otherwise it would stay without work until all
	 * others are full.
	 */
	if (!server->used && at->wait_ms <= 0 && at->is_home)
		at->cost_ms -= at->work_ms;
	if (strcmp(server->zone, steer->zone) != 0)
		at->cost_ms +=
			(double)query->body_bytes / 1000 * OTHER_ZONE_MS_PER_KB;
	if (server->silent)
		at->cost_ms += SILENT_MS;
	if (server->notice.leaving_ms)
		at->cost_ms += LEAVING_MS;
	if (now_ms(steer) < server->unreached_until_ms)
		at->cost_ms += SILENT_MS;
	/* Cold servers work at half speed. */
	if (server->cold_until_ms > now_ms(steer))
		at->cost_ms += at->work_ms;
}

/*
 * Whether the wait at the server is worth it: a request may queue only as long
 * as its answer is still expected in time. One that finds a free slot is
 * always sent, also if it will be late.
 */
static bool may_send(const struct steer_query *query,
		     const struct candidate *at, double used)
{
	double room_ms = (double)query->aim_left_ms - at->way_ms - at->work_ms;
	double share = query->priority > 1 ? WAIT_SHARE_LOW : WAIT_SHARE;

	/* Work differs from request to request; only the way is sure. */
	if (at->wait_ms <= 0)
		return 2 * at->way_ms < (double)query->left_ms &&
		       (at->is_home || room_ms >= 0 || used < SPILL_USED_MAX);
	return at->wait_ms <= room_ms * share;
}

static void fill_choice(const struct steer *steer, const struct candidate *best,
			struct steer_choice *choice)
{
	choice->expected_ms = (uint32_t)best->cost_ms;
	choice->wait_ms = (uint32_t)best->wait_ms;
	choice->load = (uint32_t)(best->load + 0.5);
	choice->slots = best->server->slots;
	choice->load_age_ms = best->server->load_ms ?
				      now_ms(steer) - best->server->load_ms :
				      0;
	choice->place = best->place;
	choice->moved = best->moved;
}

/*
 * Spread over the time in which a part of the work at hand is done, so that
 * those who come back do not come back together.
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
 * Instances of a region see about the same need, so they agree for all but a
 * few objects, and a change of the need moves few of them.
 */
static bool is_near_object(const struct upstream *upstream,
			   const struct steer_query *query)
{
	uint64_t hash = hash_mix(query->object + UINT64_C(0x9e3779b97f4a7c15));
	double place = query->has_object ? (double)(hash >> 11) * 0x1p-53 :
					   query->chance;

	return upstream->near_part < 0 || place < upstream->near_part;
}

static void find_moved(const struct ranks *ranks, struct candidate *candidates,
		       size_t nr)
{
	const char *region = "";

	for (size_t i = 0; i < nr; i++)
		if (candidates[i].score == ranks->first)
			region = candidates[i].server->region;
	for (size_t i = 0; i < nr; i++)
		candidates[i].moved =
			strcmp(candidates[i].server->region, region) != 0;
}

static bool works(const struct steer *steer, const struct steer_server *server)
{
	return !server->silent && now_ms(steer) >= server->unreached_until_ms &&
	       server->failures < WORKS_FAILURES_MAX;
}

/*
 * Leaves the servers of the object. Those that do not work count only if there
 * are no others.
 */
static size_t keep_ranked(struct ranks *ranks, const struct steer_query *query,
			  struct candidate *candidates, size_t nr)
{
	size_t kept = 0;

	for (size_t i = 0; i < nr; i++)
		if (candidates[i].works)
			note_rank(ranks, &candidates[i]);
	if (!ranks->near[0] && !ranks->far[0])
		for (size_t i = 0; i < nr; i++)
			note_rank(ranks, &candidates[i]);
	if (!query->has_object)
		return nr;
	for (size_t i = 0; i < nr; i++)
		if (candidates[i].warm || is_ranked(ranks, &candidates[i]))
			candidates[kept++] = candidates[i];
	return kept;
}

/* Why servers that could serve the request get none now. */
struct held_back {
	bool cold;
	uint64_t quiet_until_ms; /* of the first one to return, 0: none */
};

static bool is_held_back(struct steer *steer, struct steer_server *server,
			 struct held_back *held_back)
{
	uint64_t until_ms = server->notice.quiet_until_ms;

	switch (notice_of(steer, server)) {
	case NOTICE_LEFT:
		return true;
	case NOTICE_QUIET:
		if (!held_back->quiet_until_ms ||
		    until_ms < held_back->quiet_until_ms)
			held_back->quiet_until_ms = until_ms;
		return true;
	default:
		break;
	}
	if (server->cold_until_ms <= now_ms(steer) ||
	    has_cold_token(steer, server))
		return false;
	held_back->cold = true;
	return true;
}

static double used_share(const struct steer *steer,
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

static size_t collect(struct steer *steer, const struct steer_query *query,
		      const struct upstream *upstream,
		      struct candidate *candidates, struct ranks *ranks,
		      struct held_back *held_back)
{
	const struct memory *memory =
		query->has_object ? find_memory(steer, query->object) : NULL;
	uint64_t at_ms = now_ms(steer);
	size_t nr = 0;

	memset(ranks, 0, sizeof(*ranks));
	memset(held_back, 0, sizeof(*held_back));
	for (size_t i = 0; i < upstream->nr_servers; i++) {
		struct steer_server *server = upstream->servers[i];
		struct candidate *at = &candidates[nr];

		if (!is_usable(query, server) ||
		    is_held_back(steer, server, held_back))
			continue;
		memset(at, 0, sizeof(*at));
		at->server = server;
		at->score = hash_mix(query->object ^ server->hash);
		at->near = is_near(steer, query, server);
		at->warm = remembers(memory, server, at_ms);
		at->works = works(steer, server);
		nr++;
	}
	ranks->used = used_share(steer, candidates, nr);
	nr = keep_ranked(ranks, query, candidates, nr);
	ranks->first = is_near_object(upstream, query) ? ranks->near[0] :
							 ranks->far[0];
	if (!ranks->first)
		ranks->first = ranks->near[0] + ranks->far[0];
	find_moved(ranks, candidates, nr);
	return nr;
}

struct best {
	struct candidate *stays; /* in the region of the object */
	struct candidate *moves;
	bool stays_works; /* a server of that region works */
};

static struct best find_best(const struct steer_query *query, double used,
			     struct candidate *candidates, size_t nr)
{
	struct best best = { 0 };

	for (size_t i = 0; i < nr; i++) {
		struct candidate *at = &candidates[i], **kept;

		if (!at->moved && at->works)
			best.stays_works = true;
		if (!may_send(query, at, used))
			continue;
		kept = at->moved ? &best.moves : &best.stays;
		if (!*kept || at->cost_ms < (*kept)->cost_ms)
			*kept = at;
	}
	return best;
}

/*
 * The best server that may take the request. Requests go to a region that they
 * should not move to yet only if their own has no server that works.
 */
static struct candidate *choose(struct steer *steer,
				const struct steer_query *query, double used,
				struct candidate *candidates, size_t nr,
				bool *is_shift)
{
	struct best best = find_best(query, used, candidates, nr);
	uint64_t at_ms = now_ms(steer);
	bool wants, moves;

	*is_shift = false;
	if (!best.stays && !best.moves)
		return NULL;
	wants = best.moves &&
		(!best.stays || best.moves->cost_ms < best.stays->cost_ms);
	if (is_bound(query) || !best.stays_works)
		return wants ? best.moves : best.stays;
	if (!steer->first_ms)
		steer->first_ms = at_ms;
	if (at_ms < steer->disturbed_until_ms ||
	    at_ms < steer->first_ms + SHIFT_WINDOW_MS)
		wants = query->again ?
				wants :
				shift_follow(&steer->shift, wants, at_ms);
	else if (query->again)
		wants = shift_judge(&steer->shift, wants, query->chance);
	else
		wants = shift_decide(&steer->shift, wants, query->chance,
				     at_ms);
	moves = wants && best.moves;
	*is_shift = !moves && !best.stays;
	return moves ? best.moves : best.stays;
}

void steer_pick(struct steer *steer, const struct steer_query *query,
		struct steer_choice *choice)
{
	struct candidate *candidates, *best = NULL, *least = NULL;
	struct upstream *upstream;
	struct ranks ranks;
	struct held_back held_back;
	bool is_shift;
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
	nr = collect(steer, query, upstream, candidates, &ranks, &held_back);
	for (size_t i = 0; i < nr; i++) {
		struct candidate *at = &candidates[i];

		estimate(steer, query, &ranks, at);
		if (!least || at->cost_ms < least->cost_ms)
			least = at;
	}
	best = choose(steer, query, ranks.used, candidates, nr, &is_shift);
	if (best) {
		fill_choice(steer, best, choice);
		choice->verdict = STEER_SEND;
		choice->server = best->server;
	} else if (least) {
		fill_choice(steer, least, choice);
		choice->verdict = is_shift ? STEER_SHIFT : STEER_BUSY;
		choice->retry_after_ms = retry_after(steer, least->wait_ms);
	} else if (held_back.cold) {
		choice->verdict = STEER_COLD;
	} else if (held_back.quiet_until_ms) {
		choice->verdict = STEER_PAUSED;
		choice->retry_after_ms +=
			(uint32_t)(held_back.quiet_until_ms - now_ms(steer));
	}
	free(candidates);
}

/* ---- requests ---- */

void steer_sent(struct steer *steer, struct steer_server *server,
		const struct steer_query *query)
{
	uint64_t at_ms = read_clock(steer);

	if (!server->inflight)
		server->oldest_ms = at_ms;
	server->inflight++;
	server->used = true;
	if (server->cold_until_ms > at_ms)
		server->cold_tokens -= 1;
	if (query->has_object)
		remember(steer, query->object, server);
}

/*
 * The first samples count for more than the later ones.
 */
static void learn_mean(double *mean, uint32_t *nr, double sample)
{
	double weight = 1.0 / ++*nr;

	if (weight < WORK_WEIGHT)
		weight = WORK_WEIGHT;
	*mean += (sample - *mean) * weight;
}

/*
 * A deployment's work may take a tenth or ten times of the first guesses, so
 * what was not seen yet follows what was.
 */
static double learn_object(struct upstream *upstream, bool knew, double work_ms)
{
	double *mean = knew ? &upstream->warm_ms : &upstream->cold_ms;

	learn_mean(mean, knew ? &upstream->nr_warm : &upstream->nr_cold,
		   work_ms);
	if (!upstream->nr_warm)
		upstream->warm_ms = upstream->cold_ms * WARM_PART;
	if (!upstream->nr_cold)
		upstream->cold_ms = upstream->warm_ms / WARM_PART;
	if (upstream->cold_ms < upstream->warm_ms * 1.2)
		upstream->cold_ms = upstream->warm_ms * 1.2;
	return *mean;
}

/*
 * Only requests that did not wait tell how long the work takes. Requests
 * without an object may be of another kind and are learned apart.
 */
static enum coord_end learn_work(struct steer *steer,
				 struct steer_server *server,
				 const struct steer_query *query,
				 double latency_ms,
				 const struct steer_load *load)
{
	struct upstream *upstream = server->upstream;
	double work_ms = latency_ms - way_ms(steer, server);
	double middle = sqrt(upstream->warm_ms * upstream->cold_ms);
	bool is_first = !upstream->nr_warm && !upstream->nr_cold;
	double mean;
	bool knew;

	if (work_ms < 1 || (load->known && load->waiting))
		return COORD_UNTOLD;
	if (!query->has_object) {
		learn_mean(&upstream->plain_ms, &upstream->nr_plain, work_ms);
		return COORD_UNTOLD;
	}
	/* The time tells best whether the object was known, once there is one
	 * to compare with. The first request for an object is not. */
	knew = !is_first && work_ms < middle;
	mean = learn_object(upstream, knew && !query->is_new, work_ms);
	server->factor += (work_ms / mean - server->factor) * FACTOR_WEIGHT;
	return knew ? COORD_KNEW : COORD_DID_NOT_KNOW;
}

/*
 * With more requests than slots the time at the server grows with their
 * number, so it also tells of servers that are never idle.
 */
static void learn_service(struct steer *steer, struct steer_server *server,
			  const struct steer_query *query,
			  const struct steer_sending *sending)
{
	double at_server_ms = (double)(now_ms(steer) - sending->sent_ms) -
			      way_ms(steer, server);
	double sample = at_server_ms;

	if (sending->load + 1 > server->slots)
		sample *= (double)server->slots / (sending->load + 1);
	if (sample < 1 || !query->has_object)
		return;
	if (server->service_ms <= 0)
		server->service_ms = sample;
	server->service_ms += (sample - server->service_ms) * SERVICE_WEIGHT;
}

static void take_load(struct steer *steer, struct steer_server *server,
		      const struct steer_load *load)
{
	double total = load->running + load->waiting;

	server->load_ms = now_ms(steer);
	server->others = total > server->inflight ? total - server->inflight :
						    0;
	if (load->slots)
		server->slots = load->slots;
}

enum coord_end steer_ended(struct steer *steer, struct steer_server *server,
			   const struct steer_query *query,
			   enum steer_outcome outcome,
			   const struct steer_sending *sending,
			   const struct steer_load *load)
{
	enum coord_end end = COORD_UNTOLD;
	uint64_t at_ms = read_clock(steer);
	bool failed = false;

	server->inflight--;
	/* The exact order is not kept; this errs on the short side. */
	if (server->oldest_ms <= sending->sent_ms)
		server->oldest_ms = at_ms;
	forgive(steer, server);
	if (load->known)
		take_load(steer, server, load);
	switch (outcome) {
	case STEER_SUCCESS:
		end = learn_work(steer, server, query,
				 (double)(at_ms - sending->sent_ms), load);
		learn_service(steer, server, query, sending);
		break;
	case STEER_SHED:
		/* A server that sheds though it has room is failing. */
		failed = load->known && load->running < load->slots;
		break;
	case STEER_FAILURE:
		failed = true;
		break;
	case STEER_BROKEN:
		failed = true;
		steer->disturbed_until_ms = at_ms + DISTURBED_MS;
		break;
	case STEER_UNREACHED:
		server->unreached_until_ms = at_ms + UNREACHED_MS;
		steer->disturbed_until_ms = at_ms + DISTURBED_MS;
		break;
	case STEER_GONE:
		server->gone = true;
		break;
	case STEER_WITHDRAWN:
	case STEER_CANCELLED:
		break;
	}
	if (outcome != STEER_CANCELLED && outcome != STEER_WITHDRAWN)
		server->failures +=
			((failed ? 1 : 0) - server->failures) * FAILURE_WEIGHT;
	if (server->listed || server->inflight)
		return end;
	DL_DELETE(steer->unlisted, server);
	free_server(steer, server);
	return end;
}

/* ---- what the coordinator of a server tells ---- */

static void forget_object(const struct steer *steer, uint64_t object,
			  const struct steer_server *server)
{
	struct memory *at = find_memory(steer, object);

	for (size_t i = 0; at && i < MEMORY_SERVERS; i++)
		if (at->places[i].server == server->hash)
			at->places[i] = (struct memory_place){ 0 };
}

void steer_told(struct steer *steer, struct steer_server *server,
		const struct steer_query *query, const struct coord_told *told)
{
	server->load_ms = server->told_ms = read_clock(steer);
	server->told_object = query->object;
	server->told_knows = told->knows;
	server->others = told->running > server->inflight ?
				 told->running - server->inflight :
				 0;
	if (!query->has_object)
		return;
	if (told->knows)
		remember(steer, query->object, server);
	else
		forget_object(steer, query->object, server);
}

bool steer_is_told_new(struct steer *steer, const struct steer_server *server,
		       const struct steer_query *query)
{
	read_clock(steer);
	return query->has_object && is_told(steer, query, server) &&
	       !server->told_knows;
}

bool steer_wants_connection(struct steer *steer,
			    const struct steer_server *server)
{
	read_clock(steer);
	return server->listed && !server->evacuated && !server->gone &&
	       strcmp(server->region, steer->region) != 0 &&
	       works(steer, server) && notice_of(steer, server) == NOTICE_NONE;
}

/* ---- notices ---- */

/*
 * An answer may come after the table has forgotten the server and named the
 * same start of it again.
 */
static struct steer_server *listed(const struct steer *steer,
				   struct steer_server *server)
{
	struct steer_server *at;

	if (server->listed)
		return server;
	HASH_FIND_STR(steer->servers, server->id, at);
	return at && at->incarnation == server->incarnation ? at : server;
}

bool steer_server_leaves(struct steer *steer, struct steer_server *server)
{
	uint64_t at_ms = read_clock(steer);
	bool is_news;

	server = listed(steer, server);
	is_news = notice_leave(&server->notice, at_ms);
	if (!server->listed)
		keep_notice(steer, server);
	return is_news;
}

bool steer_server_pauses(struct steer *steer, struct steer_server *server,
			 uint32_t pause_ms)
{
	uint64_t at_ms = read_clock(steer);
	bool is_news;

	server = listed(steer, server);
	is_news = at_ms >= server->notice.quiet_until_ms;
	notice_pause(&server->notice, pause_ms, erand48(steer->random_state),
		     at_ms);
	if (!server->listed)
		keep_notice(steer, server);
	return is_news;
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
	return state != NOTICE_LEFT && state != NOTICE_QUIET;
}

void steer_tick(struct steer *steer)
{
	uint64_t at_ms = read_clock(steer);

	need_tick(steer->need);
	measure_need(steer);
	while (steer->memory && at_ms >= steer->memory->used_ms + MEMORY_MS)
		free_memory(steer, steer->memory);
}

/* ---- access ---- */

struct steer_server *steer_find(const struct steer *steer, const char *id)
{
	struct steer_server *at;

	HASH_FIND_STR(steer->servers, id, at);
	return at;
}

uint32_t steer_way_ms(struct steer *steer, const struct steer_server *server)
{
	return (uint32_t)way_ms(steer, server);
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
