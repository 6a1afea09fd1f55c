// Tests the configuration document, its rules and the look-up of policy values.
#include <cstring>
#include <fstream>
#include <string>

#include <gtest/gtest.h>

#include "config.h"
#include "key.h"
#include "mutate.h"

static const char good[] =
	"zones:\n"
	"  - {name: a1, region: a}\n"
	"  - {name: b1, region: b}\n"
	"customers:\n"
	"  - {name: acme, rate_per_s: 10, burst: 20}\n"
	"  - {name: bolt, rate_per_s: 5, burst: 1, weight: 3}\n"
	"upstreams:\n"
	"  - {name: orders, connections_max: 400}\n"
	"routes:\n"
	"  - name: look\n"
	"    path_prefix: /look\n"
	"    methods: [GET, HEAD]\n"
	"    upstream: orders\n"
	"    kind: idempotent\n"
	"    open: true\n"
	"  - name: commit\n"
	"    path_prefix: /orders/\n"
	"    methods: [POST]\n"
	"    upstream: orders\n"
	"    kind: non_idempotent\n"
	"links:\n"
	"  - {from_region: a, to_region: b, cap_kbit_per_s: 300000}\n"
	"client_blocks:\n"
	"  - {prefix: 10.0.0.0/8, zone: a1}\n"
	"  - {prefix: '2001:db8::/32', zone: b1}\n"
	"defaults:\n"
	"  deadline_ms: {value: 5000, reason: \"measured: p99 is 1 s\"}\n"
	"exceptions:\n"
	"  - name: slow-acme\n"
	"    setting: deadline_ms\n"
	"    value: 20000\n"
	"    reason: large sets until June\n"
	"    customer: acme\n"
	"    route: commit\n"
	"  - {name: acme-all, setting: deadline_ms, value: 9000,\n"
	"     reason: agreed, customer: acme}\n"
	"  - {name: near-only, setting: cross_region, value: 0, upstream: orders,\n"
	"     reason: the links carry drawings at night and have no room for more,\n"
	"     zone: a1, region: a}\n";

struct config_deleter {
	void operator()(Aw__Config *config) const
	{
		aw__config__free_unpacked(config, NULL);
	}
};
using config_ptr = std::unique_ptr<Aw__Config, config_deleter>;

static config_ptr parse(const std::string &text, std::string *error = nullptr)
{
	Aw__Config *config;
	char cause[1024] = "";
	enum cfg_error result = cfg_parse_yaml("f", text.data(), text.size(),
					       &config, cause, sizeof(cause));

	EXPECT_EQ(result == CFG_OK, config != nullptr);
	EXPECT_EQ(result == CFG_OK, !*cause);
	if (error)
		*error = cause;
	return config_ptr(config);
}

static std::string format(const Aw__Config *config)
{
	struct buf out = BUF_INIT;

	EXPECT_EQ(CFG_OK, cfg_format_yaml(config, &out));
	std::string text((char *)out.data, out.len_bytes);
	buf_release(&out);
	return text;
}

static std::string pack(const Aw__Config *config)
{
	std::string packed(aw__config__get_packed_size(config), '\0');

	aw__config__pack(config, (uint8_t *)packed.data());
	return packed;
}

static std::string replaced(std::string text, const std::string &from,
			    const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return text.replace(at, from.size(), to);
}

// The error message for an operator must have the line of the mistake and the
// name of the object or the allowed range.
TEST(Config, ErrorsNameLineAndCause)
{
	static const struct {
		const char *from, *to, *start, *part;
	} cases[] = {
		{ "region: a}", "region: A}", "f:2: region", "\"A\"" },
		{ "name: b1", "name: a1", "f:3: name", "repeated" },
		{ "burst: 20", "burst: 0", "f:5: burst", "1 to 100000000" },
		{ "burst: 20", "burst: -1", "f:5: burst", "1 to 100000000" },
		{ "burst: 20", "burst: 2x", "f:5: burst", "whole number" },
		{ "burst: 20", "burst: [2]", "f:5: burst", "text" },
		{ "burst: 20", "bursts: 20", "f:5: unknown", "bursts" },
		{ "rate_per_s: 10, ", "", "f:5: ", "rate_per_s" },
		{ "rate_per_s: 10, ", "rate_per_s: 1, rate_per_s: 1, ",
		  "f:5: ", "repeated" },
		{ "name: acme", "name: '-'", "f:5: ", "reserved" },
		{ "name: bolt", "name: acme", "f:6: ", "repeated" },
		{ "weight: 3", "weight: 1001", "f:6: ", "1 to 1000" },
		{ "max: 400", "max: 0", "f:8: ", "1 to 1000000" },
		{ "/look", "look", "f:11: path_prefix", "begin with /" },
		{ "/look", "/v1/x", "f:11: path_prefix", "system" },
		{ "/look", "/v1", "f:11: path_prefix", "system" },
		{ "/look", "/almondward/cancel", "f:11: ", "system" },
		{ "/look", "/a/../b", "f:11: path_prefix", "segment" },
		{ "/look", "/a/.", "f:11: path_prefix", "segment" },
		{ "/look", "/a%2e", "f:11: path_prefix", "ASCII" },
		{ "[GET, HEAD]", "[GETS]", "f:12: ", "GETS" },
		{ "[GET, HEAD]", "[]", "f:12: ", "empty" },
		{ "[GET, HEAD]", "[GET, GET]", "f:12: ", "repeated" },
		{ "[POST]", "[POST, GET]", "f:18: ", "non_idempotent" },
		{ "upstream: orders\n    kind: i", "upstream: x\n    kind: i",
		  "f:13: ", "\"x\"" },
		{ "kind: idem", "kind: idle", "f:14: kind", "non_idempotent" },
		{ "open: true", "open: yes", "f:15: open", "false, true" },
		{ "[POST]", "[PUT]\n    path: /", "f:19: unknown", "path" },
		{ "to_region: b", "to_region: c", "f:22: to_region", "\"c\"" },
		{ "to_region: b", "to_region: a", "f:22: ", "different" },
		{ "10.0.0.0/8", "10.0.0.1/8", "f:24: ", "beyond" },
		{ "10.0.0.0/8", "10.0.0.0/33", "f:24: ", "0 to 32" },
		{ "10.0.0.0/8", "10.0.0.0", "f:24: ", "LENGTH" },
		{ "2001:db8::/32", "2001:db8::/129", "f:25: ", "0 to 128" },
		{ "2001:db8::/32", "2001:db8:1::/32", "f:25: ", "beyond" },
		{ "'2001:db8::/32'", "10.0.0.0/8", "f:25: ", "repeated" },
		{ "zone: b1", "zone: b2", "f:25: zone", "\"b2\"" },
		{ "deadline_ms: {", "dead_ms: {", "f:27: ", "dead_ms" },
		{ "value: 5000", "value: 99", "f:27: ", "100 to 300000" },
		{ ", reason: \"measured: p99 is 1 s\"", "",
		  "f:27: ", "reason" },
		{ "\"measured: p99 is 1 s\"", "\"\"", "f:27: reason", "511" },
		{ "\"measured: p99 is 1 s\"", "\"a\\u009bb\"", "f:27: reason",
		  "control" },
		{ "name: slow-acme", "name: acme-all", "f:35: name",
		  "repeated" },
		{ "setting: deadline_ms\n", "setting: dead\n", "f:30: setting",
		  "\"dead\"" },
		{ "value: 20000", "value: 300001", "f:31: value",
		  "100 to 300000" },
		{ "large sets until June", "\"a\\tb\"", "f:32: reason",
		  "control" },
		{ "customer: acme\n", "customer: acne\n", "f:33: customer",
		  "\"acne\"" },
		{ "route: commit", "route: comit", "f:34: route", "comit" },
		{ "links:", "lynx:", "f:21: unknown", "lynx" },
		{ "name: bolt", "name: *x", "f:6: ", "aliases" },
		{ "zones:", "---\n{}\n---\nzones:", "f:3: ", "document" },
		{ "zones:", "[", "f:", "not YAML" },
		{ "zones:", "[[[[[[[[[[[[[[[[[\nzones:", "f:1: ", "deeper" },
		{ "name: bolt", "name: \"a\\0b\"", "f:6: ", "NUL" },
	};
	std::string error;

	ASSERT_TRUE(parse(good, &error)) << error;
	for (const auto &c : cases) {
		parse(replaced(good, c.from, c.to), &error);
		EXPECT_EQ(0u, error.find(c.start)) << c.to << ": " << error;
		EXPECT_NE(std::string::npos, error.find(c.part))
			<< c.to << ": " << error;
	}
}

// If two routes matched the same requests, their order in the document would
// decide which one is used.
TEST(Config, RoutesWithTheSamePrefixNeedDifferentMethods)
{
	std::string text = replaced(good, "/orders/", "/look"), error;

	EXPECT_TRUE(parse(text, &error)) << error;
	text = replaced(text, "kind: non_idempotent", "kind: idempotent");
	parse(replaced(text, "[POST]", "[POST, HEAD]"), &error);
	EXPECT_EQ(0u, error.find("f:17: path_prefix")) << error;
}

// A configuration that the leader writes as YAML must be read back as the same
// configuration.
TEST(Config, FormatIsReadBackIdentically)
{
	config_ptr config = parse(good);
	std::string text = format(config.get()), error;
	config_ptr again = parse(text, &error);

	ASSERT_TRUE(again) << error << "\n" << text;
	EXPECT_EQ(pack(config.get()), pack(again.get()));
	EXPECT_EQ(text, format(again.get()));
	// "config diff" relies on one line per object, however long it is.
	EXPECT_NE(std::string::npos,
		  text.find("\n- {name: acme, rate_per_s: 10, burst: 20, "
			    "weight: 1}\n"))
		<< text;
	EXPECT_NE(std::string::npos,
		  text.find("\n- {name: near-only, setting: cross_region, "
			    "value: 0, reason: the links carry drawings at "
			    "night and have no room for more, upstream: "
			    "orders, zone: a1, region: a}\n"))
		<< text;
}

// Reasons are free text: YAML indicators in them must be read back unchanged.
TEST(Config, RandomReasonsRoundTrip)
{
	static const char *const pieces[] = { " ",	  "#",
					      ": ",	  "'",
					      "\"",	  "\\",
					      "- ",	  "{",
					      "}",	  "[",
					      "]",	  ",",
					      "&a",	  "*a",
					      "!x",	  "|",
					      ">",	  "%",
					      "@",	  "`",
					      "~",	  "?",
					      "true",	  "1",
					      "\xc3\xa9", "\xe2\x80\xa8",
					      "..." };
	std::mt19937 random(20261204);
	config_ptr config = parse(good);

	for (int i = 0; i < 2000; i++) {
		std::string reason, error;

		for (unsigned n = random() % 12; n; n--)
			reason += pieces[random() % 27];
		reason += "x";
		free(config->exceptions[0]->reason);
		config->exceptions[0]->reason = strdup(reason.c_str());
		config_ptr again = parse(format(config.get()), &error);
		ASSERT_TRUE(again) << reason << "\n" << error;
		ASSERT_EQ(reason, again->exceptions[0]->reason) << i;
	}
}

// Randomly damaged documents must give an error, or a configuration that keeps
// the rules and can be written and read back. Any other configuration would be
// distributed to the whole fleet.
TEST(Config, DamagedDocumentIsRefusedOrKeepsRules)
{
	std::mt19937 random(7);
	int accepted = 0;

	for (int i = 0; i < 20000; i++) {
		std::string text = mutate(good, random), error;
		config_ptr config = parse(text, &error);
		char cause[1024];

		if (!config) {
			ASSERT_EQ(0u, error.find("f:")) << i << ": " << error;
			continue;
		}
		accepted++;
		ASSERT_EQ(CFG_OK, cfg_check(config.get(), cause, sizeof(cause)))
			<< cause;
		config_ptr again = parse(format(config.get()), &error);
		ASSERT_TRUE(again) << i << ": " << error << "\n" << text;
		ASSERT_EQ(pack(config.get()), pack(again.get())) << text;
	}
	EXPECT_GT(accepted, 100);
}

// The state is sent to the entry instances in one frame. A configuration that
// is accepted but does not fit into the frame would stop the whole fleet.
TEST(Config, RefusesAConfigurationTooLargeForAFrame)
{
	std::string text = "exceptions:\n", error;

	for (int i = 0; i < 8500; i++)
		text += "- {name: e" + std::to_string(i) +
			", setting: queue_max, value: 1, reason: " +
			std::string(500, 'x') + "}\n";
	parse(text, &error);
	EXPECT_NE(std::string::npos, error.find("at most 4194304")) << error;
}

// The first matching exception takes precedence over the default, and the
// default over the built-in value. An unknown property of the subject never
// matches a selector.
TEST(Config, DecisionNamesItsOriginAndReason)
{
	config_ptr config = parse(good);
	struct cfg_subject subject = {};
	struct cfg_decision decision;

	subject.customer = "acme";
	subject.route = "commit";
	cfg_decide(config.get(), CFG_DEADLINE_MS, &subject, &decision);
	EXPECT_EQ(20000u, decision.value);
	EXPECT_STREQ("slow-acme", decision.name);
	EXPECT_STREQ("large sets until June", decision.reason);
	EXPECT_STREQ("exception", cfg_origin_name(decision.origin));

	subject.route = "";
	cfg_decide(config.get(), CFG_DEADLINE_MS, &subject, &decision);
	EXPECT_STREQ("acme-all", decision.name);

	subject.customer = nullptr;
	cfg_decide(config.get(), CFG_DEADLINE_MS, &subject, &decision);
	EXPECT_EQ(5000u, decision.value);
	EXPECT_EQ(CFG_ORIGIN_DEFAULT, decision.origin);

	cfg_decide(config.get(), CFG_QUEUE_MAX, &subject, &decision);
	EXPECT_EQ(200u, decision.value);
	EXPECT_EQ(CFG_ORIGIN_BUILT_IN, decision.origin);
	EXPECT_STREQ("queue_max", decision.name);
	cfg_decide(nullptr, CFG_DEADLINE_MS, nullptr, &decision);
	EXPECT_EQ(10000u, decision.value);
}

// Every built-in value must be in its own range and have a valid reason.
TEST(Config, BuiltInValuesAreValid)
{
	for (int i = 0; i < CFG_SETTING_COUNT; i++) {
		const struct cfg_setting_info *info =
			cfg_setting_info((enum cfg_setting)i);

		EXPECT_LE(info->min, info->value) << info->name;
		EXPECT_GE(info->max, info->value) << info->name;
		EXPECT_TRUE(cfg_reason_valid(info->reason)) << info->name;
		EXPECT_EQ(i, cfg_setting_by_name(info->name));
	}
	EXPECT_EQ(CFG_SETTING_COUNT, cfg_setting_by_name("x"));
	EXPECT_FALSE(cfg_reason_valid("\xff"));
	EXPECT_FALSE(cfg_reason_valid(std::string(512, 'x').c_str()));
	EXPECT_TRUE(cfg_reason_valid(std::string(511, 'x').c_str()));
}

TEST(Config, FindsObjectsByName)
{
	config_ptr config = parse(good);

	EXPECT_EQ(3u, cfg_customer(config.get(), "bolt")->weight);
	EXPECT_EQ(nullptr, cfg_customer(config.get(), "x"));
	EXPECT_EQ(400u, cfg_upstream(config.get(), "orders")->connections_max);
	EXPECT_STREQ("b", cfg_region_of_zone(config.get(), "b1"));
	EXPECT_NE(nullptr, cfg_link(config.get(), "a", "b"));
	EXPECT_EQ(nullptr, cfg_link(config.get(), "b", "a"));
}

// With a repeated or malformed key one customer could send requests as another.
TEST(Key, GeneratedKeysAreWellFormedAndDiffer)
{
	char a[KEY_TEXT_BYTES], b[KEY_TEXT_BYTES];
	uint8_t hash_a[HASH_BYTES], hash_b[HASH_BYTES];

	ASSERT_EQ(0, key_generate(a));
	ASSERT_EQ(0, key_generate(b));
	EXPECT_TRUE(key_well_formed(a));
	EXPECT_STRNE(a, b);
	key_hash(a, hash_a);
	key_hash(b, hash_b);
	EXPECT_NE(0, memcmp(hash_a, hash_b, HASH_BYTES));
	a[10] = '+';
	EXPECT_FALSE(key_well_formed(a));
	EXPECT_FALSE(key_well_formed("aw1_short"));
}

static std::string read_file(const char *path)
{
	std::ifstream file(path);

	return { std::istreambuf_iterator<char>(file), {} };
}

// The manual page must agree with the rules: its example must be accepted, and
// its table must have the ranges and built-in values.
TEST(Manual, ExampleAndTableMatchTheRules)
{
	std::string text = read_file("almondward/almondward.fleet.5"), error;
	size_t at = text.find(".Bd -literal\n") + strlen(".Bd -literal\n");

	ASSERT_LT(at, text.size());
	EXPECT_TRUE(parse(text.substr(at, text.find(".Ed", at) - at), &error))
		<< error;
	for (int i = 0; i < CFG_SETTING_COUNT; i++) {
		const struct cfg_setting_info *info =
			cfg_setting_info((enum cfg_setting)i);
		std::string row = std::string(".It Ic ") + info->name + " Ta " +
				  std::to_string(info->min) + " to " +
				  std::to_string(info->max) + " Ta " +
				  std::to_string(info->value) + "\n";

		EXPECT_NE(std::string::npos, text.find(row)) << row;
	}
}

// The operators' guide must list every refusal with its status.
TEST(Manual, GuideExplainsEveryRefusal)
{
	std::string text = read_file("docs/operators.md");

	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++) {
		enum refusal refusal = (enum refusal)i;
		std::string row =
			std::string("\n| `") + refusal_name(refusal) + "` | " +
			std::to_string(refusal_status(refusal)) + " |";

		EXPECT_NE(std::string::npos, text.find(row)) << row;
	}
}
