// Guards the replicated state machine: its rules, its results, and that the
// state depends on the log alone.
#include <cstring>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "config.h"
#include "fleet.h"

// Stands in for the rules of the configuration, which have tests of their own:
// every default and exception needs a reason.
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

// Of a named string only: the result must outlive the operation.
char *c(const std::string &&text) = delete;
char *c(const std::string &text)
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
	uint64_t requests = 0;
	uint64_t expected_version = 0;
	std::string request_id; // for the next change, else a new one
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
			ADD_FAILURE() << "not applied";
			return (Aw__OpCode)-1;
		}
		EXPECT_TRUE(request_id.empty() || result->index);
		return result->code;
	}
	Aw__OpCode change(Aw__Op *op)
	{
		std::string id = request_id.empty() ?
					 "req-" + std::to_string(++requests) :
					 request_id;

		op->operator_request_id = c(id);
		op->expected_version = expected_version;
		return apply(op);
	}
	const std::string customer_name = "c1", zone_name = "z1",
			  region_name = "r1", setting_name = "deadline_ms",
			  type_name = "text/plain";

	Aw__OpCode config(const std::vector<std::string> &customers,
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
			all[i].name = c(customers[i]);
			list.push_back(&all[i]);
		}
		zone.name = c(zone_name);
		zone.region = c(region_name);
		value.setting = c(setting_name);
		value.reason = c(reason);
		config.customers = list.data();
		config.n_customers = list.size();
		config.zones = zones;
		config.defaults = values;
		config.n_zones = config.n_defaults = 1;
		config.version = 77; // must not be taken over
		body.config = &config;
		op.body_case = AW__OP__BODY_CONFIG;
		op.config = &body;
		return change(&op);
	}
	Aw__OpCode except(const std::string &name, const std::string &reason)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpExceptionAdd body = AW__OP_EXCEPTION_ADD__INIT;
		Aw__Exception exception = AW__EXCEPTION__INIT;

		exception.name = c(name);
		exception.reason = c(reason);
		body.exception = &exception;
		op.body_case = AW__OP__BODY_EXCEPTION_ADD;
		op.exception_add = &body;
		return change(&op);
	}
	Aw__OpCode unexcept(const std::string &name, const std::string &reason)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpExceptionRemove body = AW__OP_EXCEPTION_REMOVE__INIT;

		body.name = c(name);
		body.reason = c(reason);
		op.body_case = AW__OP__BODY_EXCEPTION_REMOVE;
		op.exception_remove = &body;
		return change(&op);
	}
	Aw__OpCode grant(const std::string &id, const std::string &customer,
			 const std::string &hash)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpKeyGrant body = AW__OP_KEY_GRANT__INIT;
		Aw__Key key = AW__KEY__INIT;

		key.id = c(id);
		key.customer = c(customer);
		key.hash = bytes(hash);
		body.key = &key;
		op.body_case = AW__OP__BODY_KEY_GRANT;
		op.key_grant = &body;
		return change(&op);
	}
	Aw__OpCode withdraw(const std::string &id)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpKeyWithdraw body = AW__OP_KEY_WITHDRAW__INIT;

		body.id = c(id);
		op.body_case = AW__OP__BODY_KEY_WITHDRAW;
		op.key_withdraw = &body;
		return change(&op);
	}
	Aw__OpCode plan(const std::string &name, const std::string &target,
			const std::string &reason = "works")
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpDrainPlan body = AW__OP_DRAIN_PLAN__INIT;
		Aw__Drain drain = AW__DRAIN__INIT;

		drain.name = c(name);
		drain.target_kind = AW__DRAIN_TARGET__DRAIN_ZONE;
		drain.target = c(target);
		drain.reason = c(reason);
		drain.share_permille = 900; // must not be taken over
		body.drain = &drain;
		op.body_case = AW__OP__BODY_DRAIN_PLAN;
		op.drain_plan = &body;
		return change(&op);
	}
	Aw__OpCode cancel(const std::string &name)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpDrainCancel body = AW__OP_DRAIN_CANCEL__INIT;

		body.name = c(name);
		op.body_case = AW__OP__BODY_DRAIN_CANCEL;
		op.drain_cancel = &body;
		return change(&op);
	}
	Aw__OpCode step(const std::string &name, uint32_t share_permille)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpDrainStep body = AW__OP_DRAIN_STEP__INIT;

		body.name = c(name);
		body.share_permille = share_permille;
		op.body_case = AW__OP__BODY_DRAIN_STEP;
		op.drain_step = &body;
		return apply(&op);
	}
	Aw__OpCode claim(const std::string &key, const std::string &request,
			 char body_fill = 'b')
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpClaim body = AW__OP_CLAIM__INIT;
		std::string hash(HASH_BYTES, body_fill);

		body.customer = c(customer_name);
		body.idempotency_key = c(key);
		body.request_id = c(request);
		body.body_hash = bytes(hash);
		op.body_case = AW__OP__BODY_CLAIM;
		op.claim = &body;
		return apply(&op);
	}
	Aw__OpCode finish(const std::string &key, const std::string &request,
			  const std::string &answer, uint32_t status = 201)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpClaimFinish body = AW__OP_CLAIM_FINISH__INIT;

		body.customer = c(customer_name);
		body.idempotency_key = c(key);
		body.request_id = c(request);
		body.status = status;
		body.content_type = c(type_name);
		body.answer = bytes(answer);
		body.answer_kept = true;
		op.body_case = AW__OP__BODY_CLAIM_FINISH;
		op.claim_finish = &body;
		return apply(&op);
	}
	Aw__OpCode release(const std::string &key, const std::string &request)
	{
		Aw__Op op = AW__OP__INIT;
		Aw__OpClaimRelease body = AW__OP_CLAIM_RELEASE__INIT;

		body.customer = c(customer_name);
		body.idempotency_key = c(key);
		body.request_id = c(request);
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

// If-Match covers all operators' changes, and entry instances are sent what
// they need and nothing else: each row says which of the two numbers move.
TEST_F(Fleet, VersionsMoveExactlyWhenTheyMust)
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
			  return config({ "c1", "c2" });
		  },
		  done, true, true },
		{ "config breaks a rule", [&] { return config({ "c1" }, ""); },
		  invalid, false, false },
		{ "exception", [&] { return except("e1", "load"); }, done, true,
		  true },
		{ "same name", [&] { return except("e1", "load"); }, exists,
		  false, false },
		{ "no reason", [&] { return except("e2", ""); }, invalid, false,
		  false },
		{ "remove without reason", [&] { return unexcept("e1", ""); },
		  invalid, false, false },
		{ "remove unknown", [&] { return unexcept("e9", "over"); },
		  missing, false, false },
		{ "remove", [&] { return unexcept("e1", "over"); }, done, true,
		  true },
		{ "key", [&] { return grant("k1", "c1", hash_a); }, done, true,
		  true },
		{ "key id exists", [&] { return grant("k1", "c1", hash_b); },
		  exists, false, false },
		{ "customer unknown", [&] { return grant("k2", "c9", hash_b); },
		  invalid, false, false },
		{ "short hash", [&] { return grant("k2", "c1", "ab"); },
		  invalid, false, false },
		{ "customer has a key", [&] { return config({ "c2" }); },
		  invalid, false, false },
		{ "withdraw", [&] { return withdraw("k1"); }, done, true,
		  true },
		{ "withdraw again", [&] { return withdraw("k1"); }, done, false,
		  false },
		{ "withdraw unknown", [&] { return withdraw("k9"); }, missing,
		  false, false },
		{ "withdrawn key under another id",
		  [&] { return grant("k3", "c1", hash_a); }, exists, false,
		  false },
		{ "customer without keys in use",
		  [&] { return config({ "c2" }); }, done, true, true },
		{ "drain", [&] { return plan("d1", "z1"); }, done, true, true },
		{ "drain exists", [&] { return plan("d1", "z1"); }, exists,
		  false, false },
		{ "same target", [&] { return plan("d2", "z1"); }, exists,
		  false, false },
		{ "zone unknown", [&] { return plan("d2", "z9"); }, invalid,
		  false, false },
		{ "no reason", [&] { return plan("d2", "z1", ""); }, invalid,
		  false, false },
		{ "step", [&] { return step("d1", 50); }, done, false, true },
		{ "step back", [&] { return step("d1", 49); }, invalid, false,
		  false },
		{ "same step", [&] { return step("d1", 50); }, invalid, false,
		  false },
		{ "too far", [&] { return step("d1", 1001); }, invalid, false,
		  false },
		{ "last step", [&] { return step("d1", 1000); }, done, false,
		  true },
		{ "step of unknown", [&] { return step("d9", 1); }, missing,
		  false, false },
		{ "cancel", [&] { return cancel("d1"); }, done, true, true },
		{ "cancel again", [&] { return cancel("d1"); }, missing, false,
		  false },
		{ "claim", [&] { return claim("i1", "r1"); },
		  AW__OP_CODE__OP_CLAIM_GRANTED, false, false },
		{ "finish", [&] { return finish("i1", "r1", "x"); }, done,
		  false, false },
		{ "release", [&] { return release("i2", "r2"); }, done, false,
		  false },
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

// A new drain must not move any traffic at once.
TEST_F(Fleet, DrainBeginsAtZero)
{
	size_t nr;

	config({ "c1" });
	ASSERT_EQ(AW__OP_CODE__OP_DONE, plan("d1", "z1"));
	EXPECT_EQ(0u, fleet_drains(fleet, &nr)[0]->share_permille);
}

// Of racers with equal version numbers one wins; a lost answer sent again gets
// the first result, also when the state has moved on.
TEST_F(Fleet, CompareAndSetAndResend)
{
	config({ "c1" });
	expected_version = version();
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_DONE, except("e1", "load"));
	uint64_t first_index = result->index, first_version = version();

	request_id = "second";
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, except("e2", "load"));
	EXPECT_EQ(first_version, result->config_version);
	request_id = "third";
	expected_version = first_version;
	EXPECT_EQ(AW__OP_CODE__OP_DONE, unexcept("e1", "over"));

	request_id = "first";
	expected_version = first_version - 1;
	time_ms += 5000;
	EXPECT_EQ(AW__OP_CODE__OP_DONE, except("e1", "load"));
	EXPECT_EQ(first_index, result->index);
	EXPECT_EQ(first_version, result->config_version);
	EXPECT_EQ(0u, fleet_config(fleet)->n_exceptions);
	request_id = "second";
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, except("e2", "load"));
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_ID_REUSED, except("e1", "other"));
	expected_version = 0;
	EXPECT_EQ(AW__OP_CODE__OP_ID_REUSED, except("e1", "load"));
	request_id = "with space";
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, except("e3", "load"));
	EXPECT_EQ(first_version + 1, version());
}

TEST_F(Fleet, RemembersTheLast4096Results)
{
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_DONE, except("e1", "load"));
	request_id = "";
	for (int i = 0; i < 4095; i++)
		withdraw("k");
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_DONE, except("e1", "load"));
	request_id = "";
	withdraw("k");
	request_id = "first";
	EXPECT_EQ(AW__OP_CODE__OP_EXISTS, except("e1", "load"));
}

TEST_F(Fleet, ClaimResults)
{
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i", "r1"));
	// The answer was lost: the same request asks again.
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_MISMATCH, claim("i", "r2", 'x'));
	EXPECT_EQ(AW__OP_CODE__OP_NOT_FOUND, finish("i", "r2", "no"));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, finish("i", "r1", "yes"));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, finish("i", "r1", "again"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, claim("i", "r2"));
	EXPECT_EQ(201u, result->status);
	EXPECT_STREQ("text/plain", result->content_type);
	EXPECT_TRUE(result->answer_kept);
	EXPECT_EQ("yes",
		  std::string((char *)result->answer.data, result->answer.len));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_MISMATCH, claim("i", "r2", 'x'));
	// What ran can never be released.
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, release("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, claim("i", "r3"));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, claim("", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, claim(std::string(129, 'k'), "r1"));
	EXPECT_EQ(1u, fleet_claims(fleet));
}

// A claim that arrives after its release would block the key for 24 h, or
// run a request that the caller was told had not run.
TEST_F(Fleet, ReleasedRequestCannotClaimLater)
{
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_RELEASED, claim("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i", "r2", 'x'));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_RELEASED, claim("i", "r1"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_RELEASED, claim("i", "r2"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i", "r3"));
	// A release of another request leaves the claim alone.
	EXPECT_EQ(AW__OP_CODE__OP_DONE, release("i", "r4"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim("i", "r5"));
	EXPECT_EQ(AW__OP_CODE__OP_NOT_FOUND, finish("i", "r1", "late"));
}

// Claims end by the replicated time only, and an older time moves nothing back.
TEST_F(Fleet, ClaimsExpireByReplicatedTime)
{
	claim("i1", "r1");
	time_ms += 1000;
	claim("i2", "r2");
	release("i3", "r3");
	time_ms += CLAIM_LIFETIME_MS - 1001;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim("i1", "r9"));
	time_ms -= 500000;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_IN_DOUBT, claim("i2", "r9"));
	time_ms += 500001;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i1", "r9"));
	EXPECT_EQ(3u, fleet_claims(fleet));
	time_ms += 1000;
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i2", "r9"));
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_GRANTED, claim("i3", "r3"));
}

// Stored responses are bounded one by one and in all; without one the claim
// still counts as finished.
TEST_F(Fleet, StoredAnswersAreBounded)
{
	std::string answer(8192, 'a');

	claim("big", "r");
	finish("big", "r", answer + "b");
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, claim("big", "s"));
	EXPECT_FALSE(result->answer_kept);
	EXPECT_NE(nullptr, strstr(result->detail, "201"));
	for (int i = 0; i <= 2048; i++) {
		claim("i" + std::to_string(i), "r");
		finish("i" + std::to_string(i), "r", answer);
	}
	claim("i0", "s");
	EXPECT_EQ(AW__OP_CODE__OP_CLAIM_FINISHED, result->code);
	EXPECT_FALSE(result->answer_kept);
	claim("i1", "s");
	EXPECT_TRUE(result->answer_kept);
	claim("i2048", "s");
	EXPECT_TRUE(result->answer_kept);
}

// Applies random operations; used for everything that must hold for any log.
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
				config({ "c1", name("c") });
				break;
			case 1:
				except(name("e"), "load");
				break;
			case 2:
				unexcept(name("e"), "over");
				break;
			case 3:
				grant(name("k"), "c1",
				      std::string(HASH_BYTES,
						  (char)('a' + rng() % 9)));
				break;
			case 4:
				withdraw(name("k"));
				break;
			case 5:
				plan(name("d"), "z1");
				break;
			case 6:
				cancel(name("d"));
				break;
			case 7:
				step(name("d"), rng() % 1100);
				break;
			case 8:
				claim(name("i"), name("r"));
				break;
			case 9:
				finish(name("i"), name("r"), "answer");
				break;
			case 10:
				release(name("i"), name("r"));
				break;
			}
		}
	}
};

// An instance that starts from a snapshot must be equal to one that applied
// the whole log, and results too.
TEST_F(FleetLog, StateDependsOnTheLogAlone)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		std::mt19937_64 rng(seed);
		struct fleet *other = fleet_create();

		log.clear();
		fleet_destroy(fleet);
		fleet = fleet_create();
		random_operations(seed, 400);
		for (size_t i = 0; i < log.size(); i++) {
			Aw__OpResult *again;
			Aw__Op *op = aw__op__unpack(nullptr, log[i].size(),
						    (uint8_t *)log[i].data());

			ASSERT_EQ(FLEET_OK,
				  fleet_apply(other, i + 1, op, &again));
			aw__op__free_unpacked(op, nullptr);
			aw__op_result__free_unpacked(again, nullptr);
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

// A damaged snapshot must be refused or be a usable state; a refused one must
// leave the state as it was.
TEST_F(FleetLog, LoadSurvivesMutations)
{
	random_operations(1, 300);
	std::string whole = pack(fleet);
	int refused = 0;

	for (uint64_t seed = 1; seed <= 5000; seed++) {
		std::mt19937_64 rng(seed);
		std::string data = whole;

		for (uint64_t n = 1 + rng() % 5; n && !data.empty(); n--) {
			size_t at = rng() % data.size();

			if (rng() % 8 == 0)
				data.resize(at);
			else
				data[at] = (char)rng();
		}
		if (fleet_load(fleet, (uint8_t *)data.data(), data.size())) {
			refused++;
			ASSERT_EQ(whole, pack(fleet)) << "seed " << seed;
			continue;
		}
		pack(fleet);
		claim("i1", "r1");
		withdraw("k1");
		ASSERT_EQ(FLEET_OK, fleet_load(fleet, (uint8_t *)whole.data(),
					       whole.size()));
	}
	EXPECT_GT(refused, 1000);
	EXPECT_LT(refused, 5000);
}

// Entry instances get keys and drains, never claims or operators' results.
TEST_F(Fleet, EntryInstancesGetWhatTheyNeed)
{
	struct buf buf = BUF_INIT;

	config({ "c1" });
	grant("k1", "c1", hash_a);
	plan("d1", "z1");
	claim("i", "r");
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

// The version of a new fleet was 0, which an operation takes for "any": of two
// first changes with equal version numbers both won.
TEST_F(Fleet, FirstChangeCanExpectAVersion)
{
	expected_version = version();
	EXPECT_EQ(AW__OP_CODE__OP_DONE, config({ "c1" }));
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, config({ "c2" }));
	EXPECT_STREQ("the version is 2, not 1", result->detail);
}

// An operation out of order would make this instance differ from the others.
TEST_F(Fleet, RefusesAnIndexOutOfOrder)
{
	Aw__Op op = AW__OP__INIT;

	EXPECT_EQ(FLEET_ERR_MALFORMED, fleet_apply(fleet, 2, &op, &result));
	fleet_skip(fleet, 1);
	// An operation of a later release is refused, not guessed.
	EXPECT_EQ(FLEET_OK, fleet_apply(fleet, 2, &op, &result));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, result->code);
}

} // namespace
