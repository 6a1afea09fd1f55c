#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUCKET_IDLE_MS 60000

/*
 * Makes the key of a bucket: the first character is the kind, the rest is the
 * name.
 */
static void make_key(Aw__BucketKind kind, const char *name,
		     char key[BUCKET_NAME_BYTES_MAX])
{
	snprintf(key, BUCKET_NAME_BYTES_MAX, "%c%s",
		 kind == AW__BUCKET_KIND__BUCKET_LINK ? 'l' : 'c', name);
}

static struct bucket *find_bucket(const struct agent *agent,
				  Aw__BucketKind kind, const char *name)
{
	char key[BUCKET_NAME_BYTES_MAX];
	struct bucket *bucket;

	make_key(kind, name, key);
	HASH_FIND_STR(agent->buckets, key, bucket);
	return bucket;
}

static struct bucket *find_or_add_bucket(struct agent *agent,
					 Aw__BucketKind kind, const char *name)
{
	struct bucket *bucket = find_bucket(agent, kind, name);

	if (!bucket) {
		bucket = calloc(1, sizeof(*bucket));
		if (!bucket)
			return NULL;
		make_key(kind, name, bucket->key);
		bucket->kind = kind;
		HASH_ADD_STR(agent->buckets, key, bucket);
	}
	bucket->last_use_ms = clk_now_ms(agent->clk);
	return bucket;
}

static void drop_expired(struct agent *agent, struct bucket *bucket)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	size_t i, kept = 0;

	for (i = 0; i < bucket->nr_grants; i++) {
		if (bucket->grants[i].expires_ms > now_ms)
			bucket->grants[kept++] = bucket->grants[i];
		else
			ctr_add(agent->tokens_expired, bucket->grants[i].left);
	}
	bucket->nr_grants = kept;
}

static uint64_t held_tokens(const struct bucket *bucket)
{
	uint64_t tokens = 0;
	size_t i;

	for (i = 0; i < bucket->nr_grants; i++)
		tokens += bucket->grants[i].left;
	return tokens;
}

/*
 * Uses up to n tokens and returns their number. Tokens that expire first are
 * used first: grants are in the order of their reports and so of their expiry.
 */
static uint64_t use_tokens(struct bucket *bucket, uint64_t n)
{
	uint64_t part, taken = 0;
	size_t i;

	for (i = 0; i < bucket->nr_grants && taken < n; i++) {
		part = bucket->grants[i].left;
		if (part > n - taken)
			part = n - taken;
		bucket->grants[i].left -= part;
		bucket->grants[i].used += part;
		taken += part;
	}
	return taken;
}

bool agent_take_tokens(struct agent *agent, Aw__BucketKind kind,
		       const char *name, uint64_t n)
{
	struct bucket *bucket = find_or_add_bucket(agent, kind, name);

	if (!bucket)
		return false;
	drop_expired(agent, bucket);
	if (held_tokens(bucket) < n)
		return false;
	use_tokens(bucket, n);
	bucket->used_in_interval += n;
	return true;
}

uint64_t agent_held_tokens(struct agent *agent, Aw__BucketKind kind,
			   const char *name)
{
	struct bucket *bucket = find_bucket(agent, kind, name);

	if (!bucket)
		return 0;
	drop_expired(agent, bucket);
	return held_tokens(bucket);
}

void agent_set_waiting_tokens(struct agent *agent, Aw__BucketKind kind,
			      const char *name, uint64_t n)
{
	struct bucket *bucket = n ? find_or_add_bucket(agent, kind, name) :
				    find_bucket(agent, kind, name);

	if (bucket)
		bucket->waiting = n;
}

void agent_charge_tokens(struct agent *agent, Aw__BucketKind kind,
			 const char *name, uint64_t n)
{
	struct bucket *bucket = find_or_add_bucket(agent, kind, name);

	if (!bucket)
		return;
	drop_expired(agent, bucket);
	bucket->debt += n - use_tokens(bucket, n);
	bucket->used_in_interval += n;
}

/*
 * Tokens that were already reported as used are not given back: reported totals
 * never decrease.
 */
void agent_credit_tokens(struct agent *agent, Aw__BucketKind kind,
			 const char *name, uint64_t n)
{
	struct bucket *bucket = find_bucket(agent, kind, name);
	uint64_t part;
	size_t i;

	if (!bucket)
		return;
	part = n < bucket->debt ? n : bucket->debt;
	bucket->debt -= part;
	n -= part;
	drop_expired(agent, bucket);
	for (i = bucket->nr_grants; i-- && n;) {
		struct token_grant *grant = &bucket->grants[i];

		part = grant->used - grant->used_reported;
		if (part > n)
			part = n;
		grant->used -= part;
		grant->left += part;
		n -= part;
	}
}

uint64_t agent_tokens_retry_after_ms(const struct agent *agent,
				     Aw__BucketKind kind, const char *name)
{
	struct bucket *bucket = find_bucket(agent, kind, name);
	uint64_t now_ms = clk_now_ms(agent->clk);

	if (!bucket || bucket->refused_until_ms <= now_ms)
		return 0;
	return bucket->refused_until_ms - now_ms;
}

static bool is_unanswered(const struct agent *agent, uint64_t sequence)
{
	size_t i;

	for (i = 0; i < agent->nr_unanswered; i++) {
		if (agent->unanswered[i].sequence == sequence)
			return true;
	}
	return false;
}

static uint64_t expected_use(const struct bucket *bucket, uint64_t span_ms)
{
	uint64_t per_interval = bucket->used_average;

	if (bucket->used_in_interval > per_interval)
		per_interval = bucket->used_in_interval;
	return per_interval * span_ms / REPORT_INTERVAL_MS;
}

uint64_t tokens_wanted(struct agent *agent, struct bucket *bucket)
{
	uint64_t needed, available;
	size_t i;

	drop_expired(agent, bucket);
	/* Includes the use until the Grant for the next periodic report. */
	needed =
		bucket->waiting + bucket->debt +
		expected_use(bucket, REPORT_INTERVAL_MS + agent->round_trip_ms);
	available = held_tokens(bucket);
	for (i = 0; i < REPORTS_UNANSWERED_MAX; i++) {
		if (is_unanswered(agent, bucket->requests[i].sequence))
			available += bucket->requests[i].tokens;
	}
	return needed > available ? needed - available : 0;
}

void tokens_end_interval(struct agent *agent)
{
	struct bucket *bucket, *next;

	HASH_ITER(hh, agent->buckets, bucket, next)
	{
		bucket->used_average =
			(bucket->used_average * 3 + bucket->used_in_interval) /
			4;
		if (bucket->used_in_interval > bucket->used_average)
			bucket->used_average = bucket->used_in_interval;
		bucket->used_in_interval = 0;
	}
}

void tokens_return_excess(struct agent *agent, struct bucket *bucket)
{
	uint64_t now_ms = clk_now_ms(agent->clk), keep, left_ms, excess;
	size_t i;

	drop_expired(agent, bucket);
	for (i = 0; i < bucket->nr_grants; i++) {
		struct token_grant *grant = &bucket->grants[i];

		left_ms = grant->expires_ms - now_ms;
		if (left_ms > REPORT_INTERVAL_MS)
			continue;
		keep = expected_use(bucket, left_ms) + bucket->waiting;
		if (grant->left <= keep)
			continue;
		excess = grant->left - keep;
		grant->left -= excess;
		grant->returned += excess;
		ctr_add(agent->tokens_returned, excess);
	}
}

static void add_grant(struct agent *agent, struct bucket *bucket,
		      const Aw__Grant *grant, uint64_t tokens,
		      uint64_t expires_ms)
{
	struct token_grant *grants, *added;
	uint64_t paid;

	drop_expired(agent, bucket);
	grants = realloc(bucket->grants,
			 (bucket->nr_grants + 1) * sizeof(*grants));
	if (!grants)
		return;
	bucket->grants = grants;
	added = &grants[bucket->nr_grants++];
	memset(added, 0, sizeof(*added));
	added->term = grant->term;
	added->sequence = grant->sequence;
	added->expires_ms = expires_ms;
	added->left = tokens;
	paid = tokens < bucket->debt ? tokens : bucket->debt;
	added->left -= paid;
	added->used += paid;
	bucket->debt -= paid;
}

void tokens_apply(struct agent *agent, const Aw__Grant *grant, uint64_t sent_ms)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	uint64_t expires_ms = sent_ms + TOKEN_LIFETIME_MS;
	struct bucket *bucket;
	size_t i;

	for (i = 0; i < grant->n_tokens; i++) {
		const Aw__TokenGrant *from = grant->tokens[i];

		bucket = find_or_add_bucket(agent, from->kind, from->name);
		if (!bucket)
			continue;
		if (from->tokens) {
			bucket->refused_until_ms = 0;
			if (expires_ms > now_ms)
				add_grant(agent, bucket, grant, from->tokens,
					  expires_ms);
		} else if (from->retry_after_ms) {
			bucket->refused_until_ms =
				now_ms + from->retry_after_ms;
		}
	}
}

static void destroy_bucket(struct agent *agent, struct bucket *bucket)
{
	HASH_DEL(agent->buckets, bucket);
	free(bucket->grants);
	free(bucket);
}

void tokens_cleanup(struct agent *agent)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct bucket *bucket, *next;

	HASH_ITER(hh, agent->buckets, bucket, next)
	{
		drop_expired(agent, bucket);
		if (!bucket->nr_grants && !bucket->waiting && !bucket->debt &&
		    bucket->last_use_ms + BUCKET_IDLE_MS < now_ms)
			destroy_bucket(agent, bucket);
	}
}

void tokens_destroy(struct agent *agent)
{
	struct bucket *bucket, *next;

	HASH_ITER(hh, agent->buckets, bucket, next)
	{
		destroy_bucket(agent, bucket);
	}
}
