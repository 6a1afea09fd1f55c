#include "alloc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#define MICRO 1000000 /* levels are in millionths of a token */
#define BUCKET_NAME_BYTES_MAX (2 * NAME_BYTES_MAX + 4)
#define LINK_BURST_MS 250
#define LINK_MILLI_BYTES_PER_KBIT 118750 /* 125 bytes, 95% of them */

/*
 * How long a demand that was not met keeps its place. An instance that still
 * waits reports again within REPORT_INTERVAL_MS.
 */
#define WAIT_KEEP_MS (REPORT_INTERVAL_MS + 100)

struct holder;

/* Tokens that one Grant gave. */
struct token_grant {
	uint64_t sequence;
	struct holder *holder; /* NULL: handed over by the leader before */
	uint64_t granted;
	uint64_t used;
	uint64_t returned;
	uint64_t expires_ms;
	struct token_grant *prev, *next; /* by expiry */
	UT_hash_handle hh;
};

struct holder_key {
	uint64_t incarnation;
	char name[NAME_BYTES_MAX];
};

/* One process of an entry instance. */
struct holder {
	struct holder_key key;
	struct token_grant *grants; /* by sequence */
	uint64_t wanted; /* not met yet */
	uint64_t ticket; /* order of the waiting holders */
	uint64_t wanted_ms; /* when the demand was last reported */
	uint64_t seen_ms;
	UT_hash_handle hh;
};

struct bucket {
	char key[BUCKET_NAME_BYTES_MAX]; /* kind and name */
	bool marked; /* set since the last sweep */
	uint64_t rate_milli_per_s; /* also millionths of a token per ms */
	uint64_t burst;
	uint64_t level_micro;
	uint64_t refilled_ms; /* may be in the future: no refill before */
	uint64_t outstanding;
	struct token_grant *by_expiry;
	struct holder *holders;
	UT_hash_handle hh;
};

struct alloc_tokens {
	struct clk *clk;
	uint64_t term;
	uint64_t next_ticket;
	struct bucket *buckets;
};

struct alloc_tokens *alloc_tokens_create(struct clk *clk, uint64_t term)
{
	struct alloc_tokens *tokens = calloc(1, sizeof(*tokens));

	if (!tokens)
		return NULL;
	tokens->clk = clk;
	tokens->term = term;
	return tokens;
}

static void remove_grant(struct bucket *bucket, struct token_grant *grant)
{
	DL_DELETE(bucket->by_expiry, grant);
	if (grant->holder)
		HASH_DEL(grant->holder->grants, grant);
	free(grant);
}

static void destroy_bucket(struct alloc_tokens *tokens, struct bucket *bucket)
{
	struct holder *holder;

	while (bucket->by_expiry)
		remove_grant(bucket, bucket->by_expiry);
	while ((holder = bucket->holders)) {
		HASH_DEL(bucket->holders, holder);
		free(holder);
	}
	HASH_DEL(tokens->buckets, bucket);
	free(bucket);
}

void alloc_tokens_destroy(struct alloc_tokens *tokens)
{
	struct bucket *bucket;

	if (!tokens)
		return;
	while ((bucket = tokens->buckets))
		destroy_bucket(tokens, bucket);
	free(tokens);
}

static void bucket_key(char *key, Aw__BucketKind kind, const char *name)
{
	snprintf(key, BUCKET_NAME_BYTES_MAX, "%c%s",
		 kind == AW__BUCKET_KIND__BUCKET_LINK ? 'l' : 'c', name);
}

static struct bucket *find_bucket(struct alloc_tokens *tokens,
				  Aw__BucketKind kind, const char *name)
{
	char key[BUCKET_NAME_BYTES_MAX];
	struct bucket *bucket;

	bucket_key(key, kind, name);
	HASH_FIND_STR(tokens->buckets, key, bucket);
	return bucket;
}

/*
 * Most that may be in the bucket, so that bucket and outstanding tokens
 * together stay within the burst.
 */
static uint64_t room_micro(const struct bucket *bucket)
{
	if (bucket->outstanding >= bucket->burst)
		return 0;
	return (bucket->burst - bucket->outstanding) * MICRO;
}

static uint64_t level_after(uint64_t level_micro, uint64_t rate,
			    uint64_t elapsed_ms, uint64_t max_micro)
{
	uint64_t missing;

	if (level_micro >= max_micro || !rate)
		return level_micro;
	missing = max_micro - level_micro;
	if (elapsed_ms > missing / rate)
		return max_micro;
	return level_micro + rate * elapsed_ms;
}

static void refill_until(struct bucket *bucket, uint64_t now_ms)
{
	if (now_ms <= bucket->refilled_ms)
		return;
	bucket->level_micro =
		level_after(bucket->level_micro, bucket->rate_milli_per_s,
			    now_ms - bucket->refilled_ms, room_micro(bucket));
	bucket->refilled_ms = now_ms;
}

/*
 * Brings the bucket up to now. Expired tokens count as used: they leave room
 * for new ones but do not come back.
 */
static void refill(struct bucket *bucket, uint64_t now_ms)
{
	struct token_grant *grant;

	while ((grant = bucket->by_expiry) && grant->expires_ms <= now_ms) {
		refill_until(bucket, grant->expires_ms);
		bucket->outstanding -=
			grant->granted - grant->used - grant->returned;
		remove_grant(bucket, grant);
	}
	refill_until(bucket, now_ms);
}

enum alloc_error alloc_tokens_set(struct alloc_tokens *tokens,
				  Aw__BucketKind kind, const char *name,
				  uint64_t rate_milli_per_s, uint64_t burst)
{
	uint64_t now_ms = clk_now_ms(tokens->clk);
	struct bucket *bucket = find_bucket(tokens, kind, name);

	if (!bucket) {
		bucket = calloc(1, sizeof(*bucket));
		if (!bucket)
			return ALLOC_ERR_MEMORY;
		bucket_key(bucket->key, kind, name);
		bucket->refilled_ms = now_ms + TOKEN_LIFETIME_MS;
		HASH_ADD_STR(tokens->buckets, key, bucket);
	}
	refill(bucket, now_ms);
	bucket->marked = true;
	bucket->rate_milli_per_s = rate_milli_per_s;
	bucket->burst = burst;
	if (bucket->level_micro > room_micro(bucket))
		bucket->level_micro = room_micro(bucket);
	return ALLOC_OK;
}

enum alloc_error alloc_tokens_set_link(struct alloc_tokens *tokens,
				       const char *from_region,
				       const char *to_region,
				       uint32_t cap_kbit_per_s)
{
	uint64_t rate = (uint64_t)cap_kbit_per_s * LINK_MILLI_BYTES_PER_KBIT;
	char name[2 * NAME_BYTES_MAX + 2];

	snprintf(name, sizeof(name), "%s>%s", from_region, to_region);
	return alloc_tokens_set(tokens, AW__BUCKET_KIND__BUCKET_LINK, name,
				rate, rate * LINK_BURST_MS / MICRO);
}

void alloc_tokens_sweep(struct alloc_tokens *tokens)
{
	struct bucket *bucket, *next;

	HASH_ITER(hh, tokens->buckets, bucket, next)
	{
		if (!bucket->marked)
			destroy_bucket(tokens, bucket);
		else
			bucket->marked = false;
	}
}

static struct holder *get_holder(struct bucket *bucket,
				 const Aw__Report *report)
{
	struct holder_key key = { .incarnation = report->instance_incarnation };
	struct holder *holder;

	snprintf(key.name, sizeof(key.name), "%s", report->instance->name);
	HASH_FIND(hh, bucket->holders, &key, sizeof(key), holder);
	if (holder)
		return holder;
	holder = calloc(1, sizeof(*holder));
	if (!holder)
		return NULL;
	holder->key = key;
	HASH_ADD(hh, bucket->holders, key, sizeof(holder->key), holder);
	return holder;
}

/*
 * Processes that ended leave holders behind; their grants stay until expiry.
 */
static void drop_old_holders(struct bucket *bucket, uint64_t now_ms)
{
	struct holder *holder, *next;

	HASH_ITER(hh, bucket->holders, holder, next)
	{
		if (holder->seen_ms + TOMBSTONE_MS >= now_ms)
			continue;
		HASH_DEL(bucket->holders, holder);
		free(holder);
	}
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static struct token_grant *find_grant(const struct holder *holder,
				      uint64_t sequence)
{
	struct token_grant *grant;

	HASH_FIND(hh, holder->grants, &sequence, sizeof(sequence), grant);
	return grant;
}

static void book_use(struct alloc_tokens *tokens, struct bucket *bucket,
		     const struct holder *holder, const Aw__TokenUse *use)
{
	struct token_grant *grant;
	uint64_t rest, more;

	if (use->term != tokens->term)
		return;
	grant = find_grant(holder, use->sequence);
	if (!grant)
		return;
	rest = grant->granted - grant->used - grant->returned;
	if (use->used > grant->used) {
		more = min_u64(use->used - grant->used, rest);
		grant->used += more;
		bucket->outstanding -= more;
		rest -= more;
	}
	if (use->returned > grant->returned) {
		more = min_u64(use->returned - grant->returned, rest);
		grant->returned += more;
		bucket->outstanding -= more;
		rest -= more;
		/* Not above the room after a burst that became smaller. */
		bucket->level_micro = min_u64(
			bucket->level_micro + more * MICRO, room_micro(bucket));
	}
	if (!rest)
		remove_grant(bucket, grant);
}

static bool waits(const struct holder *holder, uint64_t now_ms)
{
	return holder->wanted && holder->wanted_ms + WAIT_KEEP_MS > now_ms;
}

/*
 * Share by demand, at least one: the first in the order always gets something.
 */
static uint64_t share(uint64_t available, uint64_t wanted, uint64_t total)
{
	uint64_t part = available * wanted / total;

	return part ? part : 1;
}

/*
 * Tokens for one holder, when it wants that many. Those who wait longer have
 * their share set aside.
 */
static uint64_t decide(const struct bucket *bucket, const struct holder *holder,
		       uint64_t now_ms)
{
	uint64_t available = bucket->level_micro / MICRO;
	uint64_t total = holder->wanted, aside = 0, mine;
	const struct holder *other;

	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && waits(other, now_ms))
			total += other->wanted;
	if (total <= available)
		return holder->wanted;
	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && waits(other, now_ms) &&
		    other->ticket < holder->ticket)
			aside +=
				min_u64(other->wanted,
					share(available, other->wanted, total));
	if (aside >= available)
		return 0;
	mine = share(available, holder->wanted, total);
	return min_u64(min_u64(holder->wanted, mine), available - aside);
}

/*
 * Time until the holders that wait longer have lost their places, which is
 * when tokens that are set aside for them are given to others.
 */
static uint64_t places_end_ms(const struct bucket *bucket,
			      const struct holder *holder, uint64_t now_ms)
{
	const struct holder *other;
	uint64_t end_ms = now_ms + 1;

	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && waits(other, now_ms) &&
		    other->ticket < holder->ticket &&
		    other->wanted_ms + WAIT_KEEP_MS > end_ms)
			end_ms = other->wanted_ms + WAIT_KEEP_MS;
	return end_ms;
}

/*
 * Time until the bucket holds a token for this holder and one for everyone
 * who waits longer, if no use is reported earlier than the expiry.
 */
static uint32_t retry_after_ms(const struct bucket *bucket,
			       const struct holder *holder, uint64_t now_ms)
{
	uint64_t rate = bucket->rate_milli_per_s;
	uint64_t level = bucket->level_micro, need = 1;
	uint64_t at_ms = bucket->refilled_ms > now_ms ? bucket->refilled_ms :
							now_ms;
	const struct token_grant *grant = bucket->by_expiry;
	struct bucket state = *bucket;
	const struct holder *other;
	uint64_t wait_ms;

	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && waits(other, now_ms) &&
		    other->ticket < holder->ticket)
			need++;
	need = min_u64(need, bucket->burst) * MICRO;
	if (!rate || !need)
		return ALLOC_RETRY_MAX_MS;
	if (need <= level)
		return (uint32_t)(places_end_ms(bucket, holder, now_ms) -
				  now_ms);
	for (;; grant = grant->next) {
		if (need <= level)
			break;
		if (need <= room_micro(&state)) {
			wait_ms = (need - level + rate - 1) / rate;
			if (!grant || at_ms + wait_ms <= grant->expires_ms) {
				at_ms += wait_ms;
				break;
			}
		}
		if (!grant)
			return ALLOC_RETRY_MAX_MS;
		if (grant->expires_ms > at_ms) {
			level = level_after(level, rate,
					    grant->expires_ms - at_ms,
					    room_micro(&state));
			at_ms = grant->expires_ms;
		}
		state.outstanding -=
			grant->granted - grant->used - grant->returned;
	}
	wait_ms = at_ms > now_ms ? at_ms - now_ms : 1;
	return (uint32_t)min_u64(wait_ms, ALLOC_RETRY_MAX_MS);
}

static enum alloc_error record_grant(struct bucket *bucket,
				     struct holder *holder, uint64_t sequence,
				     uint64_t granted, uint64_t now_ms)
{
	struct token_grant *grant = calloc(1, sizeof(*grant));

	if (!grant)
		return ALLOC_ERR_MEMORY;
	grant->sequence = sequence;
	grant->holder = holder;
	grant->granted = granted;
	grant->expires_ms = now_ms + TOKEN_LIFETIME_MS;
	DL_APPEND(bucket->by_expiry, grant);
	HASH_ADD(hh, holder->grants, sequence, sizeof(grant->sequence), grant);
	bucket->level_micro -= granted * MICRO;
	bucket->outstanding += granted;
	return ALLOC_OK;
}

static enum alloc_error serve(struct alloc_tokens *tokens,
			      struct bucket *bucket, const Aw__Report *report,
			      const Aw__TokenReport *part, Aw__TokenGrant *out)
{
	uint64_t now_ms = clk_now_ms(tokens->clk), granted;
	struct holder *holder;
	size_t i;

	refill(bucket, now_ms);
	drop_old_holders(bucket, now_ms);
	holder = get_holder(bucket, report);
	if (!holder)
		return ALLOC_ERR_MEMORY;
	holder->seen_ms = now_ms;
	for (i = 0; i < part->n_uses; i++)
		book_use(tokens, bucket, holder, part->uses[i]);
	if (!part->wanted) {
		holder->wanted = 0;
		return ALLOC_OK;
	}
	/* A Report that names a bucket twice gets one grant from it. */
	if (find_grant(holder, report->sequence))
		return ALLOC_OK;
	if (!waits(holder, now_ms))
		holder->ticket = ++tokens->next_ticket;
	holder->wanted = min_u64(part->wanted, bucket->burst);
	holder->wanted_ms = now_ms;
	granted = holder->wanted ? decide(bucket, holder, now_ms) : 0;
	if (!granted) {
		out->retry_after_ms = retry_after_ms(bucket, holder, now_ms);
		return ALLOC_OK;
	}
	if (record_grant(bucket, holder, report->sequence, granted, now_ms))
		return ALLOC_ERR_MEMORY;
	holder->wanted -= granted;
	holder->ticket = ++tokens->next_ticket;
	out->tokens = granted;
	return ALLOC_OK;
}

enum alloc_error alloc_tokens_report(struct alloc_tokens *tokens,
				     const Aw__Report *report,
				     Aw__TokenGrant *grants)
{
	struct bucket *bucket;
	size_t i;

	for (i = 0; i < report->n_tokens; i++) {
		const Aw__TokenReport *part = report->tokens[i];
		Aw__TokenGrant *out = &grants[i];

		aw__token_grant__init(out);
		out->kind = part->kind;
		out->name = part->name;
		bucket = find_bucket(tokens, part->kind, part->name);
		if (!bucket) {
			if (part->wanted)
				out->retry_after_ms = ALLOC_RETRY_MAX_MS;
			continue;
		}
		if (serve(tokens, bucket, report, part, out))
			return ALLOC_ERR_MEMORY;
	}
	return ALLOC_OK;
}

void alloc_tokens_level(struct alloc_tokens *tokens, Aw__BucketKind kind,
			const char *name, uint64_t *level,
			uint64_t *outstanding)
{
	struct bucket *bucket = find_bucket(tokens, kind, name);

	*level = 0;
	*outstanding = 0;
	if (!bucket)
		return;
	refill(bucket, clk_now_ms(tokens->clk));
	*level = bucket->level_micro / MICRO;
	*outstanding = bucket->outstanding;
}

/* ---- planned change of leader ---- */

static size_t nr_rests(const struct bucket *bucket)
{
	const struct token_grant *grant;
	size_t nr = 0;

	DL_FOREACH(bucket->by_expiry, grant)
	{
		nr++;
	}
	return nr;
}

static void save_rests(const struct bucket *bucket, uint64_t now_ms,
		       Aw__TokenRest *rests, Aw__TokenRest **list)
{
	const struct token_grant *grant;
	size_t i = 0;

	DL_FOREACH(bucket->by_expiry, grant)
	{
		aw__token_rest__init(&rests[i]);
		rests[i].tokens =
			grant->granted - grant->used - grant->returned;
		rests[i].left_ms = (uint32_t)(grant->expires_ms - now_ms);
		list[i] = &rests[i];
		i++;
	}
}

/*
 * Appends one bucket as a Handover of its own: packed messages of one type may
 * be joined, and their lists are then joined too.
 */
static enum alloc_error save_bucket(struct bucket *bucket, uint64_t now_ms,
				    struct buf *out)
{
	Aw__Handover handover = AW__HANDOVER__INIT;
	Aw__TokenBucket saved = AW__TOKEN_BUCKET__INIT, *list[] = { &saved };
	enum alloc_error error = ALLOC_ERR_MEMORY;
	Aw__TokenRest *rests;
	size_t len_bytes;

	refill(bucket, now_ms);
	saved.kind = bucket->key[0] == 'l' ? AW__BUCKET_KIND__BUCKET_LINK :
					     AW__BUCKET_KIND__BUCKET_CUSTOMER;
	saved.name = bucket->key + 1;
	saved.rate_milli_per_s = bucket->rate_milli_per_s;
	saved.burst = bucket->burst;
	saved.level_micro = bucket->level_micro;
	if (bucket->refilled_ms > now_ms)
		saved.refill_wait_ms = (uint32_t)(bucket->refilled_ms - now_ms);
	saved.n_rests = nr_rests(bucket);
	rests = calloc(saved.n_rests + 1, sizeof(*rests));
	saved.rests = calloc(saved.n_rests + 1, sizeof(void *));
	if (!rests || !saved.rests)
		goto out;
	save_rests(bucket, now_ms, rests, saved.rests);
	handover.buckets = list;
	handover.n_buckets = 1;
	len_bytes = aw__handover__get_packed_size(&handover);
	if (buf_reserve(out, len_bytes))
		goto out;
	out->len_bytes +=
		aw__handover__pack(&handover, out->data + out->len_bytes);
	error = ALLOC_OK;
out:
	free(rests);
	free(saved.rests);
	return error;
}

enum alloc_error alloc_tokens_save(struct alloc_tokens *tokens, struct buf *out)
{
	uint64_t now_ms = clk_now_ms(tokens->clk);
	struct bucket *bucket;

	for (bucket = tokens->buckets; bucket; bucket = bucket->hh.next)
		if (save_bucket(bucket, now_ms, out))
			return ALLOC_ERR_MEMORY;
	return ALLOC_OK;
}

/*
 * A rest that is handed over has no holder: its use cannot be reported to this
 * leader, so it counts until it expires.
 */
static enum alloc_error restore_rest(struct bucket *bucket,
				     const Aw__TokenRest *rest,
				     uint64_t received_ms)
{
	struct token_grant *grant = calloc(1, sizeof(*grant));

	if (!grant)
		return ALLOC_ERR_MEMORY;
	grant->granted = rest->tokens;
	grant->expires_ms =
		received_ms + min_u64(rest->left_ms, TOKEN_LIFETIME_MS);
	if (bucket->by_expiry &&
	    bucket->by_expiry->prev->expires_ms > grant->expires_ms)
		grant->expires_ms = bucket->by_expiry->prev->expires_ms;
	DL_APPEND(bucket->by_expiry, grant);
	bucket->outstanding += rest->tokens;
	return ALLOC_OK;
}

static enum alloc_error restore_bucket(struct alloc_tokens *tokens,
				       const Aw__TokenBucket *saved,
				       uint64_t received_ms)
{
	struct bucket *bucket;
	size_t i;

	if (find_bucket(tokens, saved->kind, saved->name))
		return ALLOC_OK;
	bucket = calloc(1, sizeof(*bucket));
	if (!bucket)
		return ALLOC_ERR_MEMORY;
	bucket_key(bucket->key, saved->kind, saved->name);
	HASH_ADD_STR(tokens->buckets, key, bucket);
	bucket->rate_milli_per_s = saved->rate_milli_per_s;
	bucket->burst = saved->burst;
	bucket->refilled_ms = received_ms + saved->refill_wait_ms;
	for (i = 0; i < saved->n_rests; i++)
		if (restore_rest(bucket, saved->rests[i], received_ms))
			return ALLOC_ERR_MEMORY;
	bucket->level_micro = min_u64(saved->level_micro, room_micro(bucket));
	return ALLOC_OK;
}

enum alloc_error alloc_tokens_restore(struct alloc_tokens *tokens,
				      const uint8_t *data, size_t len_bytes,
				      uint64_t received_ms)
{
	Aw__Handover *handover = aw__handover__unpack(NULL, len_bytes, data);
	enum alloc_error err = ALLOC_OK;
	size_t i;

	if (!handover)
		return ALLOC_ERR_MALFORMED;
	for (i = 0; i < handover->n_buckets && !err; i++)
		err = restore_bucket(tokens, handover->buckets[i], received_ms);
	aw__handover__free_unpacked(handover, NULL);
	return err;
}
