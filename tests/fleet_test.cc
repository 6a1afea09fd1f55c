// Tests the replicated state machine: the rules and results of operations, and
// that the state depends only on the log.
#include <cstring>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "config.h"
#include "fleet.h"

// Stub for the check of configurations, which has its own tests. Checks only
// that every default has a reason.
extern "C" __attribute__((weak)) enum cfg_error cfg_check(
	const Aw__Config *config, char *error_text, size_t error_text_bytes)
{
	for (size_t i = 0; i < config->n_defaults; i++) {
		if (config->defaults[i]->reason[0])
			continue;
		snprintf(error_text, error_text_bytes, "no reason");
		return CFG_ERR_RULE;
	}
	return CFG_OK;
}

namespace
{

// Accepts no temporary string, because the result must outlive the operation.
char *c_str(const std::string &&text) = delete;
char *c_str(const std::string &text)
{
	return (char *)text.c_str();
}

ProtobufCBinaryData bytes(const std::string &data)
{
	return { data.size(), (uint8_t *)data.data() };
}

class Fleet : public testing::Test
{
protected:
	struct fleet *fleet = fleet_create();
	uint64_t time_ms = 1000;
	uint64_t nr_requests = 0;
	uint64_t expected_version = 0;
	std::string request_id; // of the next change; empty: a new one
	Aw__OpResult *result = nullptr;
	std::vector<std::string> log; // packed operations

	~Fleet()
	{
		fleet_destroy(fleet);
		free_result();
	}
	void free_result()
	{
		if (result)
			aw__op_result__free_unpacked(result, nullptr);
		result = nullptr;
	}
	Aw__OpCode apply(Aw__Op *op)
	{
		std::string packed;

		op->time_ms = time_ms;
		packed.resize(aw__op__get_packed_size(op));
		aw__op__pack(op, (uint8_t *)packed.data());
		log.push_back(packed);
		free_result();
		if (fleet_apply(fleet, fleet_applied_index(fleet) + 1, op,
				&result)) {
			ADD_FAILURE() << "the operation was not applied";
			return (Aw__OpCode)-1;
		}
		EXPECT_TRUE(request_id.empty() || result->index);
		return result->code;
	}
	Aw__OpCode apply_change(Aw__Op *op)
	{
		std::string id =
			request_id.empty() ?
				"req-" + std::to_string(++nr_requests) :
				request_id;

		op->operator_request_id = c_str(id);
		op->expected_version = expected_version;
		return apply(op);
	}
	const std::string customer_name = "c1", zone_name = "z1",
			  region_name = "r1", setting_name = "deadline_ms",
			  type_name = "text/plain";

	Aw__OpCode replace_config(const std::vector<std::string> &customers,
				  const std::string &reason = "measured")
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpConfig body = AW__OP_CONFIG__INIT;
		Aw__Config config = AW__CONFIG__INIT;
		Aw__Zone zone = AW__ZONE__INIT, *zones[] = { &zone };
		Aw__Default value = AW__DEFAULT__INIT, *values[] = { &value };
		std::vector<Aw__Customer> all(customers.size());
		std::vector<Aw__Customer *> list;

		for (size_t i = 0; i < all.size(); i++) {
			aw__customer__init(&all[i]);
			all[i].name = c_str(customers[i]);
			list.push_back(&all[i]);
		}
		zone.name = c_str(zone_name);
		zone.region = c_str(region_name);
		value.setting = c_str(setting_name);
		value.reason = c_str(reason);
		config.customers = list.data();
		config.n_customers = list.size();
		config.zones = zones;
		config.defaults = values;
		config.n_zones = config.n_defaults = 1;
		config.version = 77; // must be ignored
		body.config = &config;
		op.body_case = AW__OP__BODY_CONFIG;
		op.config = &body;
		return apply_change(&op);
	}
	Aw__OpCode add_exception(const std::string &name,
				 const std::string &reason)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpExceptionAdd body = AW__OP_EXCEPTION_ADD__INIT;
		Aw__Exception exception = AW__EXCEPTION__INIT;

		exception.name = c_str(name);
		exception.reason = c_str(reason);
		body.exception = &exception;
		op.body_case = AW__OP__BODY_EXCEPTION_ADD;
		op.exception_add = &body;
		return apply_change(&op);
	}
	Aw__OpCode remove_exception(const std::string &name,
				    const std::string &reason)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpExceptionRemove body = AW__OP_EXCEPTION_REMOVE__INIT;

		body.name = c_str(name);
		body.reason = c_str(reason);
		op.body_case = AW__OP__BODY_EXCEPTION_REMOVE;
		op.exception_remove = &body;
		return apply_change(&op);
	}
	Aw__OpCode grant_key(const std::string &id, const std::string &customer,
			     const std::string &hash)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpKeyGrant body = AW__OP_KEY_GRANT__INIT;
		Aw__Key key = AW__KEY__INIT;

		key.id = c_str(id);
		key.customer = c_str(customer);
		key.hash = bytes(hash);
		body.key = &key;
		op.body_case = AW__OP__BODY_KEY_GRANT;
		op.key_grant = &body;
		return apply_change(&op);
	}
	Aw__OpCode withdraw_key(const std::string &id)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpKeyWithdraw body = AW__OP_KEY_WITHDRAW__INIT;

		body.id = c_str(id);
		op.body_case = AW__OP__BODY_KEY_WITHDRAW;
		op.key_withdraw = &body;
		return apply_change(&op);
	}
	Aw__OpCode plan_drain(const std::string &name,
			      const std::string &target,
			      const std::string &reason = "works")
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpDrainPlan body = AW__OP_DRAIN_PLAN__INIT;
		Aw__Drain drain = AW__DRAIN__INIT;

		drain.name = c_str(name);
		drain.target_kind = AW__DRAIN_TARGET__DRAIN_ZONE;
		drain.target = c_str(target);
		drain.reason = c_str(reason);
		drain.share_permille = 900; // must be ignored
		body.drain = &drain;
		op.body_case = AW__OP__BODY_DRAIN_PLAN;
		op.drain_plan = &body;
		return apply_change(&op);
	}
	Aw__OpCode cancel_drain(const std::string &name)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpDrainCancel body = AW__OP_DRAIN_CANCEL__INIT;

		body.name = c_str(name);
		op.body_case = AW__OP__BODY_DRAIN_CANCEL;
		op.drain_cancel = &body;
		return apply_change(&op);
	}
	Aw__OpCode step_drain(const std::string &name, uint32_t share_permille)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpDrainStep body = AW__OP_DRAIN_STEP__INIT;

		body.name = c_str(name);
		body.share_permille = share_permille;
		op.body_case = AW__OP__BODY_DRAIN_STEP;
		op.drain_step = &body;
		return apply(&op);
	}
	Aw__OpCode claim_key(const std::string &key, const std::string &request,
			     char body_fill = 'b')
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpClaim body = AW__OP_CLAIM__INIT;
		std::string hash(HASH_BYTES, body_fill);

		body.customer = c_str(customer_name);
		body.idempotency_key = c_str(key);
		body.request_id = c_str(request);
		body.body_hash = bytes(hash);
		op.body_case = AW__OP__BODY_CLAIM;
		op.claim = &body;
		return apply(&op);
	}
	Aw__OpCode finish_claim(const std::string &key,
				const std::string &request,
				const std::string &answer,
				uint32_t status = 201)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpClaimFinish body = AW__OP_CLAIM_FINISH__INIT;

		body.customer = c_str(customer_name);
		body.idempotency_key = c_str(key);
		body.request_id = c_str(request);
		body.status = status;
		body.content_type = c_str(type_name);
		body.answer = bytes(answer);
		body.answer_kept = true;
		op.body_case = AW__OP__BODY_CLAIM_FINISH;
		op.claim_finish = &body;
		return apply(&op);
	}
	Aw__OpCode release_claim(const std::string &key,
				 const std::string &request)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpClaimRelease body = AW__OP_CLAIM_RELEASE__INIT;

		body.customer = c_str(customer_name);
		body.idempotency_key = c_str(key);
		body.request_id = c_str(request);
		op.body_case = AW__OP__BODY_CLAIM_RELEASE;
		op.claim_release = &body;
		return apply(&op);
	}
	uint64_t version()
	{
		return fleet_config(fleet)->version;
	}
	std::string pack(const struct fleet *from)
	{
		struct buf buf = BUF_INIT;

		EXPECT_EQ(FLEET_OK, fleet_pack(from, &buf));
		std::string data((char *)buf.data, buf.len_bytes);

		buf_release(&buf);
		return data;
	}
};

const std::string hash_a(HASH_BYTES, 'a'), hash_b(HASH_BYTES, 'b');

// If-Match needs a new configuration version for every change by an operator,
// and entry instances are sent the state only when a part that they need has
// changed. Each row states whether an operation changes the configuration
// version and the state version.
TEST_F(Fleet, VersionsChangeOnlyWhenRequired)
{
	struct Row {
		const char *what;
		std::function<Aw__OpCode()> run;
		Aw__OpCode code;
		bool config, state;
	};
	const Aw__OpCode done = AW__OP_CODE__OP_DONE;
	const Aw__OpCode invalid = AW__OP_CODE__OP_INVALID;
	const Aw__OpCode missing = AW__OP_CODE__OP_NOT_FOUND;
	const Aw__OpCode exists = AW__OP_CODE__OP_EXISTS;
	std::vector<Row> rows = {
		{ "config",
		  [&] {
			  return replace_config({ "c1", "c2" });
		  },
		  done, true, true },
		{ "config breaks a rule",
		  [&] { return replace_config({ "c1" }, ""); }, invalid, false,
		  false },
		{ "exception", [&] { return add_exception("e1", "load"); },
		  done, true, true },
		{ "same name", [&] { return add_exception("e1", "load"); },
		  exists, false, false },
		{ "no reason", [&] { return add_exception("e2", ""); }, invalid,
		  false, false },
		{ "remove without reason",
		  [&] { return remove_exception("e1", ""); }, invalid, false,
		  false },
		{ "remove unknown",
		  [&] { return remove_exception("e9", "over"); }, missing,
		  false, false },
		{ "remove", [&] { return remove_exception("e1", "over"); },
		  done, true, true },
		{ "key", [&] { return grant_key("k1", "c1", hash_a); }, done,
		  true, true },
		{ "key id exists",
		  [&] { return grant_key("k1", "c1", hash_b); }, exists, false,
		  false },
		{ "customer unknown",
		  [&] { return grant_key("k2", "c9", hash_b); }, invalid, false,
		  false },
		{ "short hash", [&] { return grant_key("k2", "c1", "ab"); },
		  invalid, false, false },
		{ "customer has a key",
		  [&] { return replace_config({ "c2" }); }, invalid, false,
		  false },
		{ "withdraw", [&] { return withdraw_key("k1"); }, done, true,
		  true },
		{ "withdraw again", [&] { return withdraw_key("k1"); }, done,
		  false, false },
		{ "withdraw unknown", [&] { return withdraw_key("k9"); },
		  missing, false, false },
		{ "withdrawn key under another id",
		  [&] { return grant_key("k3", "c1", hash_a); }, exists, false,
		  false },
		{ "customer without keys in use",
		  [&] { return replace_config({ "c2" }); }, done, true, true },
		{ "drain", [&] { return plan_drain("d1", "z1"); }, done, true,
		  true },
		{ "drain exists", [&] { return plan_drain("d1", "z1"); },
		  exists, false, false },
		{ "same target", [&] { return plan_drain("d2", "z1"); }, exists,
		  false, false },
		{ "zone unknown", [&] { return plan_drain("d2", "z9"); },
		  invalid, false, false },
		{ "no reason", [&] { return plan_drain("d2", "z1", ""); },
		  invalid, false, false },
		{ "step", [&] { return step_drain("d1", 50); }, done, false,
		  true },
		{ "step back", [&] { return step_drain("d1", 49); }, invalid,
		  false, false },
		{ "same step", [&] { return step_drain("d1", 50); }, invalid,
		  false, false },
		{ "too far", [&] { return step_drain("d1", 1001); }, invalid,
		  false, false },
		{ "last step", [&] { return step_drain("d1", 1000); }, done,
		  false, true },
		{ "step of unknown", [&] { return step_drain("d9", 1); },
		  missing, false, false },
		{ "cancel", [&] { return cancel_drain("d1"); }, done, true,
		  true },
		{ "cancel again", [&] { return cancel_drain("d1"); }, missing,
		  false, false },
		{ "claim", [&] { return claim_key("i1", "r1"); },
		  AW__OP_CODE__OP_CLAIM_GRANTED, false, false },
		{ "finish", [&] { return finish_claim("i1", "r1", "x"); }, done,
		  false, false },
		{ "release", [&] { return release_claim("i2", "r2"); }, done,
		  false, false },
	};

	for (const Row &row : rows) {
		uint64_t version_before = version();
		uint64_t state_before = fleet_state_version(fleet);

		EXPECT_EQ(row.code, row.run())
			<< row.what << ": " << result->detail;
		EXPECT_EQ(version_before + row.config, version()) << row.what;
		EXPECT_EQ(version(), result->config_version) << row.what;
		EXPECT_EQ(row.state ? fleet_applied_index(fleet) : state_before,
			  fleet_state_version(fleet))
			<< row.what;
		EXPECT_EQ(row.code == done ||
				  row.code == AW__OP_CODE__OP_CLAIM_GRANTED,
			  !result->detail[0] || row.code == done)
			<< row.what;
	}
}

// A new drain must not shift traffic immediately.
TEST_F(Fleet, NewDrainStartsAtZeroShare)
{
	size_t nr;

	replace_config({ "c1" });
	ASSERT_EQ(AW__OP_CODE__OP_DONE, plan_drain("d1", "z1"));
	EXPECT_EQ(0u, fleet_drains(fleet, &nr)[0]->share_permille);
}

// Of concurrent changes that expect the same version one succeeds. A request
// that is repeated because its response was lost gets the first result, even if
// the state has changed since.
TEST_F(Fleet, ExpectedVersionAndRepeatedRequest)
{
	replace_config({ "c1" });
	expected_version = version();
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_DONE, add_exception("e1", "load"));
	uint64_t first_index = result->index, first_version = version();

	request_id = "second";
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT,
		  add_exception("e2", "load"));
	EXPECT_EQ(first_version, result->config_version);
	request_id = "third";
	expected_version = first_version;
	EXPECT_EQ(AW__OP_CODE__OP_DONE, remove_exception("e1", "over"));

	request_id = "first";
	expected_version = first_version - 1;
	time_ms += 5000;
	EXPECT_EQ(AW__OP_CODE__OP_DONE, add_exception("e1", "load"));
	EXPECT_EQ(first_index, result->index);
	EXPECT_EQ(first_version, result->config_version);
	EXPECT_EQ(0u, fleet_config(fleet)->n_exceptions);
	request_id = "second";
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT,
		  add_exception("e2", "load"));
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_ID_REUSED, add_exception("e1", "other"));
	expected_version = 0;
	EXPECT_EQ(AW__OP_CODE__OP_ID_REUSED, add_exception("e1", "load"));
	request_id = "with space";
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, add_exception("e3", "load"));
	EXPECT_EQ(first_version + 1, version());
}

TEST_F(Fleet, KeepsTheLast4096Results)
{
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_DONE, add_exception("e1", "load"));
	request_id = "";
	for (int i = 0; i < 4095; i++)
		withdraw_key("k");
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_DONE, add_exception("e1", "load"));
	request_id = "";
	withdraw_key("k");
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_EXISTS, add_exception("e1", "load"));
}

TEST_F(Fleet, ClaimResults)
{
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i", "r1"));
	// The reply was lost: the same request repeats its claim.
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim_key("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_MISMATCH, claim_key("i", "r2", 'x'));
	EXPECT_EQ(AW__OP_CODE__OP_NOT_FOUND, finish_claim("i", "r2", "no"));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, finish_claim("i", "r1", "yes"));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, finish_claim("i", "r1", "again"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, claim_key("i", "r2"));
	EXPECT_EQ(201u, result->status);
	EXPECT_STREQ("text/plain", result->content_type);
	EXPECT_TRUE(result->answer_kept);
	EXPECT_EQ("yes",
		  std::string((char *)result->answer.data, result->answer.len));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_MISMATCH, claim_key("i", "r2", 'x'));
	// A finished request can never be released.
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, release_claim("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, claim_key("i", "r3"));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, claim_key("", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID,
		  claim_key(std::string(129, 'k'), "r1"));
	EXPECT_EQ(1u, fleet_nr_claims(fleet));
}

// If a claim that arrives after its release were granted, it would block the
// key for 24 h, or a request would run that was reported to the caller as not
// run.
TEST_F(Fleet, ReleasedRequestCannotClaimLater)
{
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release_claim("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_RELEASED, claim_key("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i", "r2", 'x'));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release_claim("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release_claim("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_RELEASED, claim_key("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_RELEASED, claim_key("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i", "r3"));
	// A release of another request leaves the claim alone.
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release_claim("i", "r4"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim_key("i", "r5"));
	EXPECT_EQ(AW__OP_CODE__OP_NOT_FOUND, finish_claim("i", "r1", "late"));
}

// Claims expire by the replicated time only, and an operation with an earlier
// time does not move that time back.
TEST_F(Fleet, ClaimsExpireByReplicatedTime)
{
	claim_key("i1", "r1");
	time_ms += 1000;
	claim_key("i2", "r2");
	release_claim("i3", "r3");
	time_ms += CLAIM_LIFETIME_MS - 1001;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim_key("i1", "r9"));
	time_ms -= 500000;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim_key("i2", "r9"));
	time_ms += 500001;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i1", "r9"));
	EXPECT_EQ(3u, fleet_nr_claims(fleet));
	time_ms += 1000;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i2", "r9"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim_key("i3", "r3"));
}

// The size of each stored response and of all together is limited. A claim
// whose response is not stored still counts as finished.
TEST_F(Fleet, StoredResponsesAreLimited)
{
	std::string answer(8192, 'a');

	claim_key("big", "r");
	finish_claim("big", "r", answer + "b");
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, claim_key("big", "s"));
	EXPECT_FALSE(result->answer_kept);
	EXPECT_NE(nullptr, strstr(result->detail, "201"));
	for (int i = 0; i <= 2048; i++) {
		claim_key("i" + std::to_string(i), "r");
		finish_claim("i" + std::to_string(i), "r", answer);
	}
	claim_key("i0", "s");
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, result->code);
	EXPECT_FALSE(result->answer_kept);
	claim_key("i1", "s");
	EXPECT_TRUE(result->answer_kept);
	claim_key("i2048", "s");
	EXPECT_TRUE(result->answer_kept);
}

// Applies random operations, for tests of properties that hold for any log.
class FleetLog : public Fleet
{
protected:
	void random_operations(uint64_t seed, int nr)
	{
		std::mt19937_64 rng(seed);
		auto name = [&](const char *prefix) {
			return prefix + std::to_string(rng() % 5);
		};

		for (int i = 0; i < nr; i++) {
			time_ms += rng() % (CLAIM_LIFETIME_MS / 30);
			request_id = rng() % 8 ? "" : name("again");
			expected_version = rng() % 4 ? 0 : version();
			switch (rng() % 11) {
			case 0:
				replace_config({ "c1", name("c") });
				break;
			case 1:
				add_exception(name("e"), "load");
				break;
			case 2:
				remove_exception(name("e"), "over");
				break;
			case 3:
				grant_key(name("k"), "c1",
					  std::string(HASH_BYTES,
						      (char)('a' + rng() % 9)));
				break;
			case 4:
				withdraw_key(name("k"));
				break;
			case 5:
				plan_drain(name("d"), "z1");
				break;
			case 6:
				cancel_drain(name("d"));
				break;
			case 7:
				step_drain(name("d"), rng() % 1100);
				break;
			case 8:
				claim_key(name("i"), name("r"));
				break;
			case 9:
				finish_claim(name("i"), name("r"), "answer");
				break;
			case 10:
				release_claim(name("i"), name("r"));
				break;
			}
		}
	}
};

// An instance that starts from a snapshot must have the same state, including
// stored results, as one that applied the whole log.
TEST_F(FleetLog, StateDependsOnlyOnTheLog)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		std::mt19937_64 rng(seed);
		struct fleet *other = fleet_create();

		log.clear();
		fleet_destroy(fleet);
		fleet = fleet_create();
		random_operations(seed, 400);
		for (size_t i = 0; i < log.size(); i++) {
			Aw__OpResult *other_result;
			Aw__Op *op = aw__op__unpack(nullptr, log[i].size(),
						    (uint8_t *)log[i].data());

			ASSERT_EQ(FLEET_OK,
				  fleet_apply(other, i + 1, op, &other_result));
			aw__op__free_unpacked(op, nullptr);
			aw__op_result__free_unpacked(other_result, nullptr);
			if (rng() % 20)
				continue;
			std::string state = pack(other);

			fleet_destroy(other);
			other = fleet_create();
			ASSERT_EQ(FLEET_OK,
				  fleet_load(other, (uint8_t *)state.data(),
					     state.size()));
			ASSERT_EQ(state, pack(other)) << "seed " << seed;
		}
		EXPECT_EQ(pack(fleet), pack(other)) << "seed " << seed;
		fleet_destroy(other);
	}
}

// A corrupt snapshot must be refused or result in a usable state; a refused one
// must leave the state unchanged.
TEST_F(FleetLog, LoadSurvivesCorruptSnapshots)
{
	random_operations(1, 300);
	std::string intact = pack(fleet);
	int refused = 0;

	for (uint64_t seed = 1; seed <= 5000; seed++) {
		std::mt19937_64 rng(seed);
		std::string data = intact;

		for (uint64_t n = 1 + rng() % 5; n && !data.empty(); n--) {
			size_t at = rng() % data.size();

			if (rng() % 8 == 0)
				data.resize(at);
			else
				data[at] = (char)rng();
		}
		if (fleet_load(fleet, (uint8_t *)data.data(), data.size())) {
			refused++;
			ASSERT_EQ(intact, pack(fleet)) << "seed " << seed;
			continue;
		}
		pack(fleet);
		claim_key("i1", "r1");
		withdraw_key("k1");
		ASSERT_EQ(FLEET_OK, fleet_load(fleet, (uint8_t *)intact.data(),
					       intact.size()));
	}
	EXPECT_GT(refused, 1000);
	EXPECT_LT(refused, 5000);
}

// Entry instances receive the configuration, keys and drains, never claims or
// operators' results.
TEST_F(Fleet, EntryStateHasNoClaimsOrResults)
{
	struct buf buf = BUF_INIT;

	replace_config({ "c1" });
	grant_key("k1", "c1", hash_a);
	plan_drain("d1", "z1");
	claim_key("i", "r");
	ASSERT_EQ(FLEET_OK, fleet_pack_for_entry(fleet, &buf));
	Aw__FleetState *state =
		aw__fleet_state__unpack(nullptr, buf.len_bytes, buf.data);

	EXPECT_EQ(1u, state->n_keys);
	EXPECT_EQ(1u, state->n_drains);
	EXPECT_EQ(1u, state->config->n_customers);
	EXPECT_EQ(4u, state->config->version);
	EXPECT_EQ(3u, state->state_version);
	EXPECT_EQ(0u, state->n_claims);
	EXPECT_EQ(0u, state->n_results);
	aw__fleet_state__free_unpacked(state, nullptr);
	buf_release(&buf);
}

// The version of a new fleet was 0, which means "any version" in an operation,
// so two first changes that expected the same version both succeeded.
TEST_F(Fleet, FirstChangeCanExpectVersion)
{
	expected_version = version();
	EXPECT_EQ(AW__OP_CODE__OP_DONE, replace_config({ "c1" }));
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, replace_config({ "c2" }));
	EXPECT_STREQ("the version is 2, not 1", result->detail);
}

// An operation applied out of order would make the state of this instance
// differ from that of the others.
TEST_F(Fleet, RefusesIndexOutOfOrder)
{
	Aw__Op op = AW__OP__INIT;

	EXPECT_EQ(FLEET_ERR_MALFORMED, fleet_apply(fleet, 2, &op, &result));
	fleet_skip_entry(fleet, 1);
	// An unknown operation, e.g. of a later release, is refused.
	EXPECT_EQ(FLEET_OK, fleet_apply(fleet, 2, &op, &result));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, result->code);
}

} // namespace
