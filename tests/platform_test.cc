// Tests the adapter to the users' platform: what it decodes, what it refuses,
// and that a read returns a configuration as it was sent.
#include <cstring>
#include <string>
#include <vector>

#include <cjson/cJSON.h>
#include <gtest/gtest.h>

#include "message.h"
#include "plan.h"
#include "platform.h"

static const char document[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
	"\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeoutS\":2.5,"
	"\"targetLatencyS\":0.6,\"priority\":2,\"backends\":[{\"service\":"
	"\"a\",\"weight\":90},{\"service\":\"b\",\"weight\":10}],"
	"\"maxAttempts\":2,\"public\":false,\"affinity\":true,\"homeRegions\":"
	"[\"x\"],\"new\":{\"k\":1}}],\"services\":[{\"name\":\"a\",\"maxConns\":"
	"330,\"coldS\":3.0,\"coldPerS\":7.4},{\"name\":\"b\"}],\"limits\":"
	"{\"maxBodyBytes\":67108864,\"idleTimeoutS\":15},\"tenants\":[{\"name\":"
	"\"t\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":0,\"ratePerS\":124,"
	"\"burst\":62.5}],\"more\":[1,2]}";

class Call
{
public:
	struct svc_call call;

	Call(const char *method, const char *target, const std::string &body,
	     const char *if_match = nullptr)
	{
		std::vector<struct http_header> headers;
		struct http_request req = {};

		if (if_match)
			headers.push_back({ "If-Match", if_match });
		req.method = method;
		req.target = target;
		req.headers = headers.data();
		req.nr_headers = headers.size();
		req.body = (const uint8_t *)body.data();
		req.body_bytes = body.size();
		platform_adapter()->read_call(&req, &call);
	}

	~Call()
	{
		svc_call_release(&call);
	}
};

TEST(Platform, DecodesADocument)
{
	Call put("PUT", "/api/config", document, "5");

	ASSERT_EQ(SVC_CALL_PLAN_CHANGE, put.call.kind) << put.call.detail;
	const Aw__PlanChange *change = put.call.u.change;
	EXPECT_TRUE(change->whole);
	EXPECT_EQ(5u, change->base_version);
	EXPECT_EQ(7u, change->version);
	ASSERT_EQ(1u, change->n_routes);
	const Aw__PlanRoute *route = change->routes[0];
	EXPECT_EQ(AW__REQUEST_KIND__IDEMPOTENT, route->kind);
	EXPECT_EQ(2500u, route->timeout_ms);
	EXPECT_EQ(600u, route->target_latency_ms);
	ASSERT_EQ(2u, route->n_parts);
	EXPECT_EQ(9 * route->parts[1]->weight, route->parts[0]->weight);
	EXPECT_TRUE(route->affinity);
	ASSERT_EQ(1u, route->n_home_regions);
	EXPECT_EQ(7400u, change->upstreams[0]->cold_milli_per_s);
	EXPECT_EQ(15000u, change->limits->idle_timeout_ms);
	EXPECT_EQ(62500u, change->customers[0]->burst_milli);
	EXPECT_TRUE(change->customers[0]->has_priority);
}

// A read must return the whole document, including unknown members.
TEST(Platform, ReadReturnsTheDocumentAsSent)
{
	Call put("PUT", "/api/config", document, "0");
	struct plan *plan = plan_create();
	struct buf out = BUF_INIT;
	char detail[256];

	put.call.u.change->base_version = 0;
	ASSERT_EQ(PLAN_ACCEPTED, plan_change(plan, 1, put.call.u.change, detail,
					     sizeof(detail)))
		<< detail;
	ASSERT_EQ(0, platform_adapter()->format_plan(plan_message(plan), &out));
	cJSON *sent = cJSON_Parse(document);
	cJSON *returned =
		cJSON_ParseWithLength((const char *)out.data, out.len_bytes);
	EXPECT_TRUE(cJSON_Compare(sent, returned, true))
		<< std::string((const char *)out.data, out.len_bytes);
	cJSON_Delete(sent);
	cJSON_Delete(returned);
	buf_release(&out);
	plan_destroy(plan);
}

TEST(Platform, RefusesMalformedDocuments)
{
	const std::string whole = document;
	const std::string table[] = {
		"",
		whole.substr(0, whole.size() - 1),
		whole + "x",
		"[]",
		"{\"version\":7}",
		"{\"version\":\"7\",\"routes\":[],\"services\":[]}",
		"{\"version\":7.5,\"routes\":[],\"services\":[]}",
		"{\"version\":7,\"routes\":{},\"services\":[]}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\"}],\"services\":[]}",
		"{\"version\":7,\"routes\":[],\"services\":[{}]}",
		"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":"
		"[{\"name\":\"t\",\"apiKeys\":[1]}]}",
	};

	for (const auto &text : table) {
		Call put("PUT", "/api/config", text, "0");

		EXPECT_EQ(SVC_CALL_INVALID, put.call.kind) << text;
	}
	// Every truncated form of the document, as after an interrupted upload.
	for (size_t i = 0; i < whole.size(); i++) {
		Call put("PUT", "/api/config", whole.substr(0, i), "0");

		ASSERT_EQ(SVC_CALL_INVALID, put.call.kind) << i;
	}
}

TEST(Platform, ChangeWithoutIfMatchHasNoBaseVersion)
{
	Call put("PUT", "/api/config", document);

	ASSERT_EQ(SVC_CALL_PLAN_CHANGE, put.call.kind);
	EXPECT_EQ(UINT64_MAX, put.call.u.change->base_version);
}

TEST(Platform, DecodesHeartbeats)
{
	const std::string good =
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"version\":\"v1\",\"concurrency\":4,\"state\":\"ready\","
		"\"coldRemainingS\":1.5,\"sequence\":4,\"born\":1700000000123}";
	Call heartbeat("PUT", "/api/instances/i-1", good);

	ASSERT_EQ(SVC_CALL_HEARTBEAT, heartbeat.call.kind)
		<< heartbeat.call.detail;
	EXPECT_STREQ("i-1", heartbeat.call.u.server->id);
	EXPECT_EQ(1700000000123u, heartbeat.call.u.server->incarnation);
	EXPECT_EQ(1500u, heartbeat.call.u.server->cold_left_ms);
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE,
		  heartbeat.call.u.server->state);
	const char *wrong[][2] = { { "\"ready\"", "\"happy\"" },
				   { "\"s\"", "7" },
				   { ":4,\"state\"", ":0,\"state\"" },
				   { ",\"sequence\":4", "" },
				   { "123}", "123.5}" } };
	for (const auto &row : wrong) {
		std::string text = good;

		text.replace(text.find(row[0]), strlen(row[0]), row[1]);
		Call bad("PUT", "/api/instances/i-1", text);
		EXPECT_EQ(SVC_CALL_INVALID, bad.call.kind) << text;
	}
	Call without_id("PUT", "/api/instances/", good);
	EXPECT_EQ(SVC_CALL_INVALID, without_id.call.kind);
}

// Another writer's heartbeat may have any bytes. It must name no server, and
// not be read as another value than the one that was written.
TEST(Platform, RefusesOddHeartbeats)
{
	const std::string good =
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"concurrency\":4,\"state\":\"ready\",\"coldRemainingS\":1.5,"
		"\"sequence\":4,\"born\":1700000000123}";
	const char *numbers[] = { "-1",
				  "1e400",
				  "-1e400",
				  "1e30",
				  "9223372036854775808",
				  "18446744073709551616",
				  "1.5",
				  "NaN",
				  "Infinity",
				  "0x10",
				  "\"4\"",
				  "[4]",
				  "{}",
				  "true" };
	const char *numeric[] = { "\"concurrency\":4", "\"sequence\":4",
				  "\"born\":1700000000123",
				  "\"coldRemainingS\":1.5" };
	const char *strings[] = { "7",	  "null",	   "[]",      "{}",
				  "true", "\"s\\u0000x\"", "\"s\\q\"" };
	const char *texts[] = { "\"service\":\"s\"",
				"\"address\":\"10.0.0.9:80\"", "\"zone\":\"z\"",
				"\"state\":\"ready\"" };
	std::vector<std::string> bodies = { good.substr(0, 40),
					    good + good,
					    "null",
					    "7",
					    "[" + good + "]",
					    "\xff\xfe",
					    std::string(good).insert(13, 1,
								     '\0'),
					    good + std::string(1, '\0') };
	auto replace = [&](const char *member, const std::string &value) {
		std::string text = good, name = member;

		name = name.substr(0, name.find(':') + 1);
		bodies.push_back(text.replace(text.find(member), strlen(member),
					      name + value));
	};

	for (const char *member : numeric)
		for (const char *value : numbers)
			if (strcmp(member, numeric[3]) != 0 ||
			    strcmp(value, "1.5") != 0)
				replace(member, value);
	for (const char *member : texts)
		for (const char *value : strings)
			replace(member, value);
	for (const char *value : { "0", "100001" })
		replace(numeric[0], value);
	for (const char *value : { "9007199254740991", "4102444800001" })
		replace(numeric[2], value);
	replace(numeric[3], "3601");
	for (const char *open : { "[", "{\"a\":" })
		for (size_t depth : { 2000, 200000 }) {
			std::string nested;

			for (size_t i = 0; i < depth; i++)
				nested += open;
			bodies.push_back(nested);
			replace(numeric[0], nested);
			bodies.push_back("{\"x\":" + nested + "," +
					 good.substr(1));
		}
	for (const auto &text : bodies) {
		Call bad("PUT", "/api/instances/i-1", text);

		EXPECT_EQ(SVC_CALL_INVALID, bad.call.kind)
			<< text.substr(0, 300);
	}
	// An escaped backslash before "u0000" is no NUL byte.
	Call escaped("PUT", "/api/instances/i-1",
		     std::string(good).replace(12, 1, "\\\\u0000"));
	EXPECT_EQ(SVC_CALL_HEARTBEAT, escaped.call.kind);
}

// Such a notice must not remove the process that the table has under the id.
TEST(Platform, RefusesOddNoticesOfDeparture)
{
	for (const char *text :
	     { "{\"born\":\"12\"}", "{\"born\":1e400}", "{\"born\":-1}",
	       "{\"born\":1.5}", "{\"born\":9007199254740991}", "[12]", "{",
	       "{\"born\":[[", "\xff" }) {
		Call leave("DELETE", "/api/instances/i-1", text);

		EXPECT_EQ(SVC_CALL_INVALID, leave.call.kind) << text;
	}
	Call without("DELETE", "/api/instances/i-1", "{}");
	EXPECT_EQ(SVC_CALL_LEAVE, without.call.kind);
	EXPECT_FALSE(without.call.u.leave.has_incarnation);
}

// Numbers that do not fit their fields would become other numbers.
TEST(Platform, RefusesOddNumbersInConfigurations)
{
	const char *members[] = {
		"\"version\":7",	  "\"timeoutS\":2.5",
		"\"targetLatencyS\":0.6", "\"priority\":2",
		"\"weight\":90",	  "\"maxAttempts\":2",
		"\"maxConns\":330",	  "\"coldS\":3.0",
		"\"coldPerS\":7.4",	  "\"maxBodyBytes\":67108864",
		"\"idleTimeoutS\":15",	  "\"ratePerS\":124",
		"\"burst\":62.5"
	};
	const char *values[] = {
		"-1",  "1e400", "-1e400", "1e30", "\"1\"",
		"[1]", "{}",	"true",	  "NaN",  "9223372036854775808"
	};
	const std::string whole = document;
	const size_t end = whole.size() - 1;

	for (const char *member : members)
		for (const char *value : values) {
			std::string text = whole, name = member;

			name = name.substr(0, name.find(':') + 1) + value;
			text.replace(text.find(member), strlen(member), name);
			Call put("PUT", "/api/config", text, "0");
			EXPECT_EQ(SVC_CALL_INVALID, put.call.kind) << name;
			EXPECT_NE('\0', *put.call.detail) << name;
		}
	for (const char *version : { "9007199254740992", "9007199254740993" }) {
		std::string text = whole;

		text.replace(text.find("\"version\":7"), 11,
			     std::string("\"version\":") + version);
		Call put("PUT", "/api/config", text, "0");
		EXPECT_EQ(SVC_CALL_INVALID, put.call.kind) << version;
	}
	for (size_t depth : { 2000, 200000 }) {
		std::string nested(depth, '[');

		Call put("PUT", "/api/config",
			 whole.substr(0, end) + ",\"x\":" + nested +
				 std::string(depth, ']') + "}",
			 "0");
		EXPECT_EQ(SVC_CALL_INVALID, put.call.kind) << depth;
	}
}

// A read would return such a name cut, and two names could become the same.
TEST(Platform, RefusesNulBytesInConfigurations)
{
	std::string text = document;

	text.replace(text.find("\"k1\""), 4, "\"k1\\u0000a\"");
	Call escaped("PUT", "/api/config", text, "0");
	EXPECT_EQ(SVC_CALL_INVALID, escaped.call.kind);
	text = document;
	text.replace(text.find("\"k1\""), 4, std::string("\"k\0\"", 4));
	Call plain("PUT", "/api/config", text, "0");
	EXPECT_EQ(SVC_CALL_INVALID, plain.call.kind);
}

// Requests of a tenant with such a name would carry another name, or none.
TEST(Platform, RefusesUnusableNamesInConfigurations)
{
	for (const char *member :
	     { "{\"name\":\"a\",\"maxConns\"", "{\"name\":\"t\",\"apiKeys\"" })
		for (const std::string &name :
		     { std::string("a\\nb"), std::string("a\\r\\nX: y"),
		       std::string(NAME_BYTES_MAX, 'n') }) {
			std::string text = document;
			size_t at = text.find(member);

			ASSERT_NE(std::string::npos, at);
			text.replace(at + 9, 1, name);
			Call put("PUT", "/api/config", text, "0");
			EXPECT_EQ(SVC_CALL_INVALID, put.call.kind) << text;
		}
}

// A name of a member is written as JSON again, whatever its characters are.
TEST(Platform, ReadReturnsOddMembersAsSent)
{
	const std::string text = "{\"version\":1,\"routes\":[],\"services\":[],"
				 "\"a\\\"b\\\\\\n\":{\"c\":1},\"\":2}";
	Call put("PUT", "/api/config", text, "0");
	struct plan *plan = plan_create();
	struct buf out = BUF_INIT;
	char detail[256];

	ASSERT_EQ(SVC_CALL_PLAN_CHANGE, put.call.kind) << put.call.detail;
	ASSERT_EQ(PLAN_ACCEPTED, plan_change(plan, 1, put.call.u.change, detail,
					     sizeof(detail)))
		<< detail;
	ASSERT_EQ(0, platform_adapter()->format_plan(plan_message(plan), &out));
	cJSON *sent = cJSON_Parse(text.c_str());
	cJSON *returned =
		cJSON_ParseWithLength((const char *)out.data, out.len_bytes);
	EXPECT_TRUE(cJSON_Compare(sent, returned, true))
		<< std::string((const char *)out.data, out.len_bytes);
	cJSON_Delete(sent);
	cJSON_Delete(returned);
	buf_release(&out);
	plan_destroy(plan);
}

// Applies the changes one after the other. Returns what a read returns then.
static std::string read_after(const std::vector<std::string> &bodies,
			      bool *needs_keys)
{
	struct plan *plan = plan_create();
	struct buf out = BUF_INIT;
	uint64_t index = 0;
	char detail[256];

	for (const std::string &body : bodies) {
		Call call(index ? "PATCH" : "PUT", "/api/config", body,
			  std::to_string(index).c_str());

		EXPECT_EQ(SVC_CALL_PLAN_CHANGE, call.call.kind)
			<< call.call.detail;
		if (call.call.kind != SVC_CALL_PLAN_CHANGE)
			break;
		EXPECT_EQ(PLAN_ACCEPTED,
			  plan_change(plan, ++index, call.call.u.change, detail,
				      sizeof(detail)))
			<< detail;
	}
	EXPECT_EQ(0, platform_adapter()->format_plan(plan_message(plan), &out));
	*needs_keys = platform_adapter()->needs_keys(plan_message(plan));
	std::string text((const char *)out.data, out.len_bytes);

	buf_release(&out);
	plan_destroy(plan);
	return text;
}

// A list that became empty was taken for one that the document does not have:
// without the last customer, requests needed no key any more.
TEST(Platform, EmptyListsStayPresent)
{
	const std::string base = "{\"version\":1,\"routes\":[{\"name\":\"r\","
				 "\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":"
				 "\"safe\",\"service\":\"a\"}],\"services\":"
				 "[{\"name\":\"a\"}]";
	const std::string customer = "{\"name\":\"t\",\"apiKeys\":[\"k\"]}";
	const std::string remove_t =
		"{\"version\":2,\"remove\":{\"tenants\":[\"t\"]}}";
	const std::string add_t =
		"{\"version\":3,\"upsert\":{\"tenants\":[" + customer + "]}}";
	bool needs_keys;

	read_after({ base + "}" }, &needs_keys);
	EXPECT_FALSE(needs_keys);
	read_after({ base + ",\"tenants\":[" + customer + "]}" }, &needs_keys);
	EXPECT_TRUE(needs_keys);
	EXPECT_NE(std::string::npos,
		  read_after({ base + ",\"tenants\":[]}" }, &needs_keys)
			  .find("\"tenants\":[]"));
	EXPECT_TRUE(needs_keys);
	EXPECT_NE(std::string::npos,
		  read_after({ base + ",\"tenants\":[" + customer + "]}",
			       remove_t },
			     &needs_keys)
			  .find("\"tenants\":[]"));
	EXPECT_TRUE(needs_keys);
	EXPECT_NE(std::string::npos,
		  read_after({ base + ",\"tenants\":[" + customer + "]}",
			       remove_t, add_t },
			     &needs_keys)
			  .find("\"tenants\":[" + customer + "]"));
	EXPECT_TRUE(needs_keys);
	EXPECT_NE(std::string::npos,
		  read_after({ base + "}", "{\"version\":2,\"remove\":"
					   "{\"routes\":[\"r\"]}}" },
			     &needs_keys)
			  .find("\"routes\":[]"));
	EXPECT_FALSE(needs_keys);
}

TEST(Platform, DecodesOtherCalls)
{
	Call leave("DELETE", "/api/instances/i-1", "{\"born\":12}");
	EXPECT_EQ(SVC_CALL_LEAVE, leave.call.kind);
	EXPECT_TRUE(leave.call.u.leave.has_incarnation);
	EXPECT_EQ(12u, leave.call.u.leave.incarnation);
	Call without_incarnation("DELETE", "/api/instances/i-1", "");
	EXPECT_FALSE(without_incarnation.call.u.leave.has_incarnation);
	Call zone("POST", "/api/evacuations/z1", "");
	EXPECT_EQ(SVC_CALL_ZONE, zone.call.kind);
	EXPECT_TRUE(zone.call.u.zone.evacuated);
	Call end_evacuation("DELETE", "/api/evacuations/z1", "");
	EXPECT_FALSE(end_evacuation.call.u.zone.evacuated);
	Call lookup("GET", "/api/resolve?name=x&region=ra&zone=a1", "");
	EXPECT_EQ(SVC_CALL_LOOKUP, lookup.call.kind);
	EXPECT_STREQ("a1", lookup.call.u.lookup.zone);
	EXPECT_STREQ("ra", lookup.call.u.lookup.region);
	Call unknown("GET", "/api/other", "");
	EXPECT_EQ(SVC_CALL_UNKNOWN, unknown.call.kind);
}

// A backend server must never receive the caller's key, or headers in which a
// caller claims an identity of its own.
TEST(Platform, WithholdsKeysAndSystemHeaders)
{
	for (const char *name : { "X-Key", "x-key", "X-Tenant-Id",
				  "X-Expect-Instance", "X-Deadline-Ms" })
		EXPECT_TRUE(platform_adapter()->is_withheld(name)) << name;
	EXPECT_FALSE(platform_adapter()->is_withheld("X-Request-Id"));
}

// A request that is relayed keeps the caller's key, but not its deadline.
TEST(Platform, RelayedRequestsGetTheTimeThatIsLeft)
{
	struct svc_forward_text text;
	struct http_header header =
		platform_adapter()->relay_deadline(1234, &text);

	EXPECT_STREQ("X-Deadline-Ms", header.name);
	EXPECT_STREQ("1234", header.value);
}

TEST(Platform, DecodesResponses)
{
	const struct http_header headers[] = { { "X-Request-Id", "id" },
					       { "X-Server-Load", "3,1,8" },
					       { "Keep-Alive",
						 "timeout=5, max=9" } };
	struct http_response response = { 200, headers, 3, nullptr, 0 };
	struct svc_answer answer;

	platform_adapter()->read_answer(&response, &answer);
	EXPECT_STREQ("id", answer.request_id);
	EXPECT_FALSE(answer.not_run);
	ASSERT_TRUE(answer.has_load);
	EXPECT_EQ(3u, answer.running);
	EXPECT_EQ(8u, answer.slots);
	EXPECT_EQ(5000u, answer.idle_max_ms);
	response.status = 421;
	platform_adapter()->read_answer(&response, &answer);
	EXPECT_TRUE(answer.not_run);
	EXPECT_TRUE(answer.misdirected);
	for (const char *load :
	     { "", "3", "3,1", "3,1,8,", "a,1,8", "-1,1,8" }) {
		const struct http_header bad = { "X-Server-Load", load };
		struct http_response other = { 200, &bad, 1, nullptr, 0 };

		platform_adapter()->read_answer(&other, &answer);
		EXPECT_FALSE(answer.has_load) << load;
	}
}

static struct svc_answer read_answer(uint32_t status,
				     std::vector<struct http_header> headers)
{
	struct http_response response = {};
	struct svc_answer answer;

	response.status = status;
	response.headers = headers.data();
	response.nr_headers = headers.size();
	platform_adapter()->read_answer(&response, &answer);
	return answer;
}

// A server can announce its departure in any response.
TEST(Platform, DecodesServerDepartures)
{
	for (uint32_t status : { 200, 421, 429, 500, 503 })
		EXPECT_TRUE(read_answer(status, { { "Server-Leaving", "1" } })
				    .leaving)
			<< status;
	EXPECT_FALSE(read_answer(200, { { "Server-Leaving", "0" } }).leaving);
	EXPECT_FALSE(read_answer(200, { { "Connection", "close" } }).leaving);
}

TEST(Platform, DecodesBackoffs)
{
	const struct {
		const char *text;
		enum svc_backoff backoff;
		uint32_t backoff_ms;
	} rows[] = {
		{ "2", SVC_BACKOFF_VALID, 2000 },
		{ "0.25", SVC_BACKOFF_VALID, 250 },
		{ "1.", SVC_BACKOFF_VALID, 1000 },
		{ "0.0001", SVC_BACKOFF_VALID, 1 },
		{ "0", SVC_BACKOFF_NONE, 0 },
		{ "0.0", SVC_BACKOFF_NONE, 0 },
		{ "3600", SVC_BACKOFF_VALID, 3600000 },
		{ "3601", SVC_BACKOFF_CAPPED, 3600000 },
		{ "99999999999999999999999", SVC_BACKOFF_CAPPED, 3600000 },
		{ "-1", SVC_BACKOFF_UNREADABLE, 0 },
		{ "", SVC_BACKOFF_UNREADABLE, 0 },
		{ "soon", SVC_BACKOFF_UNREADABLE, 0 },
		{ "1e3", SVC_BACKOFF_UNREADABLE, 0 },
		{ "0x10", SVC_BACKOFF_UNREADABLE, 0 },
		{ "inf", SVC_BACKOFF_UNREADABLE, 0 },
		{ "nan", SVC_BACKOFF_UNREADABLE, 0 },
		{ "2 s", SVC_BACKOFF_UNREADABLE, 0 },
		{ "Wed, 21 Oct 2026 07:28:00 GMT", SVC_BACKOFF_UNREADABLE, 0 },
	};

	for (const auto &row : rows) {
		auto answer = read_answer(503, { { "Retry-After", row.text } });

		EXPECT_EQ(row.backoff, answer.backoff) << row.text;
		EXPECT_EQ(row.backoff_ms, answer.backoff_ms) << row.text;
	}
	EXPECT_EQ(SVC_BACKOFF_NONE, read_answer(503, {}).backoff);
	EXPECT_EQ(SVC_BACKOFF_NONE,
		  read_answer(429, { { "Retry-After", "2" } }).backoff);
}

// A response whose id is not certain must not pass for a refusal of a request
// that another server could then run again.
TEST(Platform, ResponseHasOneIdOrNone)
{
	EXPECT_EQ(nullptr, read_answer(503, {}).request_id);
	EXPECT_EQ(nullptr,
		  read_answer(503, { { "X-Request-Id", "" } }).request_id);
	EXPECT_EQ(nullptr, read_answer(503, { { "X-Request-Id", "a" },
					      { "x-request-id", "b" } })
				   .request_id);
	EXPECT_STREQ("a", read_answer(503, { { "X-Request-Id", "a" },
					     { "x-request-id", "a" } })
				  .request_id);
}

// A caller takes these statuses as "not run", whatever the server means.
TEST(Platform, KnowsStatusesThatPromise)
{
	for (uint32_t status : { 408, 421, 429, 503 })
		EXPECT_TRUE(read_answer(status, {}).tells_not_run) << status;
	for (uint32_t status : { 200, 400, 404, 500, 502, 504 })
		EXPECT_FALSE(read_answer(status, {}).tells_not_run) << status;
	EXPECT_FALSE(read_answer(503, {}).not_run);
	EXPECT_TRUE(read_answer(503, { { "X-Not-Executed", "1" } }).not_run);
}

// A limit that cannot be read must not pass for one of zero, nor for none.
TEST(Platform, DecodesServerLimits)
{
	const struct {
		const char *text;
		enum svc_limit limit;
		uint32_t milli_per_s;
	} rows[] = {
		{ "5.7", SVC_LIMIT_VALID, 5700 },
		{ "12", SVC_LIMIT_VALID, 12000 },
		{ "0", SVC_LIMIT_VALID, 0 },
		{ "0.5", SVC_LIMIT_VALID, 500 },
		{ "0.0004", SVC_LIMIT_VALID, 0 },
		{ "3.", SVC_LIMIT_VALID, 3000 },
		{ "99999999999999999999999", SVC_LIMIT_VALID,
		  SVC_LIMIT_MAX_MILLI_PER_S },
		{ "-1", SVC_LIMIT_UNREADABLE, 0 },
		{ "", SVC_LIMIT_UNREADABLE, 0 },
		{ "few", SVC_LIMIT_UNREADABLE, 0 },
		{ "1e3", SVC_LIMIT_UNREADABLE, 0 },
		{ "5,7", SVC_LIMIT_UNREADABLE, 0 },
		{ "inf", SVC_LIMIT_UNREADABLE, 0 },
		{ "nan", SVC_LIMIT_UNREADABLE, 0 },
		{ "5.7/s", SVC_LIMIT_UNREADABLE, 0 },
	};

	for (const auto &row : rows) {
		for (uint32_t status : { 200u, 500u, 503u }) {
			auto answer = read_answer(
				status, { { "Server-Limit", row.text } });

			EXPECT_EQ(row.limit, answer.limit) << row.text;
			EXPECT_EQ(row.milli_per_s, answer.limit_milli_per_s)
				<< row.text;
		}
	}
	EXPECT_EQ(SVC_LIMIT_NONE, read_answer(200, {}).limit);
}
