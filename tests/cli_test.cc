// Tests the command line: exit statuses, what is sent and what is printed.
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include "cli.h"
#include "key.h"

struct sent {
	std::string address, method, target, token, id, version, body;
};

using responder_fn = std::function<enum cli_call_result(
	const struct sent &sent, unsigned *status, std::string *body)>;

class Cli : public ::testing::Test
{
protected:
	void SetUp() override
	{
		char pattern[] = "/tmp/almondward-cli-XXXXXX";

		ASSERT_NE(nullptr, mkdtemp(pattern));
		dir = pattern;
		write("token", "operator-token-0123456789\n");
		write("fleet", "zones: [{name: a1, region: a}]\n");
		write("bad", "zones:\n- {name: a1}\n");
		write("cluster", "cluster-secret-0123456789\n");
		write("settings",
		      "role: control\nname: c1\nzone: a1\ndata_dir: data\n"
		      "listen: {operators: 127.0.0.1:1, peers: 127.0.0.1:2}\n"
		      "controls:\n- {name: c1, address: 127.0.0.1:2}\n"
		      "- {name: c2, address: 127.0.0.1:3}\n"
		      "secrets: {cluster_file: cluster,"
		      " operator_file: token}\n");
		env.arg = this;
		env.call = [](void *arg, const char *address,
			      const struct cli_request *request,
			      struct cli_reply *reply) {
			return ((Cli *)arg)->call(address, request, reply);
		};
		env.pause = [](void *arg, uint32_t pause_ms) {
			((Cli *)arg)->paused_ms += pause_ms;
		};
		env.accepts = [](void *arg, const char *address) {
			return ((Cli *)arg)->accepting == address;
		};
		env.run = [](void *, const struct set_settings *settings) {
			return settings->nr_controls == 2 ? 0 : 9;
		};
		env.create_cluster = [](void *arg,
					const struct set_settings *settings,
					char *error_text,
					size_t error_text_bytes) {
			((Cli *)arg)->created_in = settings->data_dir;
			snprintf(error_text, error_text_bytes, "not empty");
			return ((Cli *)arg)->create_result;
		};
	}

	void TearDown() override
	{
		for (const char *name :
		     { "token", "fleet", "bad", "cluster", "settings" })
			unlink((dir + "/" + name).c_str());
		rmdir(dir.c_str());
	}

	void write(const std::string &name, const std::string &text)
	{
		std::ofstream(dir + "/" + name) << text;
		chmod((dir + "/" + name).c_str(), 0600);
	}

	enum cli_call_result call(const char *address,
				  const struct cli_request *request,
				  struct cli_reply *reply)
	{
		auto text = [](const char *s) { return s ? s : ""; };
		struct sent current = { address,
					request->method,
					request->target,
					text(request->token),
					text(request->request_id),
					text(request->if_match),
					std::string(text(request->body),
						    request->body_bytes) };
		unsigned status = 200;
		std::string body = "{}";
		enum cli_call_result result;

		calls.push_back(current);
		result = responder(current, &status, &body);
		reply->status = status;
		snprintf(reply->version, sizeof(reply->version), "7");
		buf_append(&reply->body, body.c_str(), body.size() + 1);
		reply->body.len_bytes--;
		return result;
	}

	// Runs a command line, which is split at spaces. "@" is replaced by the
	// directory of the test.
	int run(const std::string &line, std::vector<std::string> more = {})
	{
		std::vector<std::string> words = { "almondward" };
		std::vector<char *> argv;
		char *out_text = nullptr, *err_text = nullptr;
		size_t out_bytes, err_bytes, at;
		std::string word;
		int status;

		for (char c : line + " ") {
			if (c != ' ')
				word += c;
			else if (!word.empty())
				words.push_back(std::exchange(word, ""));
		}
		words.insert(words.end(), more.begin(), more.end());
		for (std::string &w : words) {
			if ((at = w.find('@')) != std::string::npos)
				w.replace(at, 1, dir + "/");
			argv.push_back(w.data());
		}
		argv.push_back(nullptr);
		env.out = open_memstream(&out_text, &out_bytes);
		env.err = open_memstream(&err_text, &err_bytes);
		status = cli_main((int)words.size(), argv.data(), &env);
		fclose(env.out);
		fclose(env.err);
		out = out_text;
		err = err_text;
		free(out_text);
		free(err_text);
		return status;
	}

	std::string dir, out, err, accepting, created_in;
	bool create_result = true;
	uint64_t paused_ms = 0;
	std::vector<struct sent> calls;
	responder_fn responder = [](const struct sent &, unsigned *,
				    std::string *) { return CLI_CALL_DONE; };
	struct cli_env env = {};
};

static const std::string system_options =
	" --control 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3 --token-file @token";

static enum cli_call_result not_leader(unsigned *status, std::string *body)
{
	*status = 503;
	*body = "{\"error\":\"not_leader\",\"leader\":\"c9\"}";
	return CLI_CALL_DONE;
}

// A usage error must exit with 2. The default of argp is 64, which no script
// would take for a usage error.
TEST_F(Cli, WrongOptionsExitWithTwo)
{
	// EXPECT_EXIT forks: the children use the files of this process.
	const std::string lines[] = {
		"",
		"--nonsense",
		"status --nonsense",
		"status --control 127.0.0.1:1",
		"status extra" + system_options,
		"config apply @fleet" + system_options,
		"config apply --version-expected 1" + system_options,
		"exception add x --setting queue_max --value 1" +
			system_options,
		"exception remove x" + system_options,
		"drain plan d --kind zone --target a1 --ramp-s 10" +
			system_options,
		"key grant acme" + system_options,
		"key grant acme --id k --request-id 1" + system_options,
		"drain show --reason" + system_options,
		"status --json --json" + system_options,
	};

	for (const std::string &line : lines)
		EXPECT_EXIT(_exit(run(line) + 100),
			    ::testing::ExitedWithCode(CLI_USAGE), "")
			<< line;
	EXPECT_EXIT(_exit(run("config apply --help") + 100),
		    ::testing::ExitedWithCode(0), "");
}

// Mistakes that the command can detect must not be sent to an instance.
TEST_F(Cli, WrongValuesReturnTwoAndSendNothing)
{
	const struct {
		std::string line, message;
		std::vector<std::string> more;
	} cases[] = {
		{ "nonsense", "unknown command \"nonsense\"", {} },
		{ "config", "unknown command", {} },
		{ "check", "-c FILE", {} },
		{ "check -c @none", "none: cannot be read", {} },
		{ "check --fleet @bad", "bad:2: \"region\" is missing", {} },
		{ "run -c @bad", "bad:1: unknown name", {} },
		{ "status --token-file @token --control host:1",
		  "\"host:1\" must be IP:port",
		  {} },
		{ "status --token-file @none --control 127.0.0.1:1",
		  "cannot be read",
		  {} },
		{ "config apply @bad --version-expected 1" + system_options,
		  "bad:2: ",
		  {} },
		{ "config apply @fleet --version-expected 0" + system_options,
		  "--version-expected \"0\" must be a",
		  {} },
		{ "config apply @fleet --version-expected x" + system_options,
		  "\"x\"",
		  {} },
		{ "exception add e --setting x --value 1 --reason r" +
			  system_options,
		  "\"x\" does not exist",
		  {} },
		{ "exception add e --setting deadline_ms --value 1 --reason r" +
			  system_options,
		  "from 100 to 300000",
		  {} },
		{ "exception remove e" + system_options,
		  "--reason must have",
		  { "--reason", "" } },
		{ "exception remove e" + system_options,
		  "--reason must have",
		  { "--reason", "a\nb" } },
		{ "exception remove a/b --reason r" + system_options,
		  "\"a/b\"",
		  {} },
		{ "drain plan d --kind rack --target x --ramp-s 1 --reason r" +
			  system_options,
		  "server, zone, region",
		  {} },
		{ "drain plan d --kind server --target x --ramp-s 1 --reason "
		  "r" + system_options,
		  "IP:port",
		  {} },
		{ "drain plan d --kind zone --target x --ramp-s 1h --reason r" +
			  system_options,
		  "0 to 86400",
		  {} },
		{ "key withdraw k" + system_options,
		  "visible",
		  { "--request-id", "a b" } },
		{ "explain ../x --entry 127.0.0.1:1 --token-file @token",
		  "request id",
		  {} },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(CLI_USAGE, run(c.line, c.more)) << c.line;
		EXPECT_NE(std::string::npos, err.find(c.message))
			<< c.line << ": " << err;
	}
	EXPECT_TRUE(calls.empty());
}

TEST_F(Cli, CheckAcceptsGoodFiles)
{
	EXPECT_EQ(CLI_DONE, run("check -c @settings --fleet @fleet")) << err;
	EXPECT_NE(std::string::npos, out.find("control instance \"c1\""));
}

// Instances that are unreachable or not the leader are skipped; the response
// of the leader is used.
TEST_F(Cli, FindsTheLeader)
{
	responder = [](const struct sent &sent, unsigned *status,
		       std::string *body) {
		if (sent.address == "127.0.0.1:1")
			return CLI_CALL_NOT_SENT;
		if (sent.address == "127.0.0.1:2")
			return not_leader(status, body);
		*body = "{\"version\":8}";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE,
		  run("key withdraw k1 --version-expected 7" + system_options));
	ASSERT_EQ(3u, calls.size());
	EXPECT_EQ("DELETE", calls[2].method);
	EXPECT_EQ("/v1/keys/k1", calls[2].target);
	EXPECT_EQ("operator-token-0123456789", calls[2].token);
	EXPECT_EQ("7", calls[2].version);
	EXPECT_EQ("version  8\n", out);
}

// An election takes about 2 s. A command that is started meanwhile must not
// fail.
TEST_F(Cli, WaitsForAnElection)
{
	responder = [this](const struct sent &, unsigned *status,
			   std::string *body) {
		return paused_ms < 3000 ? not_leader(status, body) :
					  CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE, run("status" + system_options)) << err;
}

TEST_F(Cli, UnreachableSystemExitsWithThree)
{
	responder = [](const struct sent &, unsigned *, std::string *) {
		return CLI_CALL_NOT_SENT;
	};
	EXPECT_EQ(CLI_UNREACHABLE, run("drain show" + system_options));
	EXPECT_EQ(0u, paused_ms);
	responder = [](const struct sent &, unsigned *status,
		       std::string *body) { return not_leader(status, body); };
	EXPECT_EQ(CLI_UNREACHABLE, run("drain show" + system_options));
	EXPECT_NE(std::string::npos, err.find("\"c9\"")) << err;
}

// A change without a response is sent again with the same id, so that it is
// made once.
TEST_F(Cli, UnansweredChangeIsResentWithTheSameId)
{
	responder = [this](const struct sent &, unsigned *status,
			   std::string *body) {
		if (calls.size() == 1)
			return CLI_CALL_NO_RESPONSE;
		if (calls.size() == 2) {
			*status = 504;
			*body = "{\"error\":\"outcome_unknown\"}";
		}
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE, run("drain cancel d1" + system_options));
	ASSERT_EQ(3u, calls.size());
	EXPECT_EQ(32u, calls[0].id.size());
	EXPECT_EQ(calls[0].id, calls[1].id);
	EXPECT_EQ(calls[0].id, calls[2].id);
}

// Instances that do not respond must not block a command for minutes.
TEST_F(Cli, TimeoutsCountTowardsTheRetryTime)
{
	responder = [](const struct sent &, unsigned *, std::string *) {
		return CLI_CALL_NO_RESPONSE;
	};
	EXPECT_EQ(CLI_UNREACHABLE, run("drain cancel d1" + system_options));
	EXPECT_EQ(3u, calls.size());
}

// "refused" for the second attempt says nothing about the first one, to which
// there was no response.
TEST_F(Cli, UnknownOutcomeIsReportedWithTheId)
{
	responder = [this](const struct sent &, unsigned *status,
			   std::string *body) {
		if (calls.size() == 1)
			return CLI_CALL_NO_RESPONSE;
		*status = 503;
		*body = "{\"error\":\"refused\"}";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_UNREACHABLE, run("drain cancel d1" + system_options));
	EXPECT_NE(std::string::npos, err.find("outcome is unknown"));
	EXPECT_NE(std::string::npos, err.find("--request-id " + calls[0].id));
	calls.assign(1, {});
	EXPECT_EQ(CLI_REFUSED, run("drain cancel d1" + system_options));
}

TEST_F(Cli, RefusalExitsWithOneAndIsShown)
{
	responder = [](const struct sent &, unsigned *status,
		       std::string *body) {
		*status = 409;
		*body = "{\"error\":\"version_conflict\",\"detail\":\"is \\u001b8\"}";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_REFUSED, run("config apply @fleet --version-expected 7 "
				   "--request-id r1" +
				   system_options));
	EXPECT_NE(std::string::npos, err.find("409: version_conflict: is ?8"))
		<< err;
	ASSERT_EQ(1u, calls.size());
	EXPECT_EQ("zones: [{name: a1, region: a}]\n", calls[0].body);
	EXPECT_EQ("r1", calls[0].id);
	EXPECT_EQ("7", calls[0].version);
}

static std::string key_in(const std::string &text)
{
	size_t at = text.find(KEY_PREFIX);

	return at == std::string::npos ? "" :
					 text.substr(at, KEY_TEXT_BYTES - 1);
}

// The key itself must never be sent, only its hash.
TEST_F(Cli, KeyGrantSendsOnlyTheHash)
{
	char hex[2 * HASH_BYTES + 1];
	uint8_t hash[HASH_BYTES];

	for (const char *json : { "", " --json" }) {
		calls.clear();
		ASSERT_EQ(CLI_DONE, run("key grant acme --id k1" +
					system_options + json));
		std::string key = key_in(out);
		ASSERT_TRUE(key_well_formed(key.c_str())) << out;
		key_hash(key.c_str(), hash);
		for (int i = 0; i < HASH_BYTES; i++)
			snprintf(hex + 2 * i, 3, "%02x", hash[i]);
		EXPECT_EQ("{\"id\":\"k1\",\"customer\":\"acme\",\"hash\":\"" +
				  std::string(hex) + "\"}",
			  calls[0].body);
		EXPECT_EQ(std::string::npos, err.find(KEY_PREFIX));
	}
}

// A refused key must not be printed; a key that may be valid must not be lost.
TEST_F(Cli, KeyIsPrintedUnlessRefused)
{
	responder = [](const struct sent &, unsigned *status, std::string *) {
		*status = 404;
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_REFUSED, run("key grant acme --id k1" + system_options));
	EXPECT_EQ("", key_in(out + err));
	responder = [](const struct sent &, unsigned *, std::string *) {
		return CLI_CALL_NO_RESPONSE;
	};
	EXPECT_EQ(CLI_UNREACHABLE,
		  run("key grant acme --id k1" + system_options));
	EXPECT_NE("", key_in(out));
	EXPECT_NE(std::string::npos, err.find("key list"));
}

TEST_F(Cli, ExceptionAndDrainBodies)
{
	EXPECT_EQ(CLI_DONE,
		  run("exception add e1 --setting queue_max --value 9 "
		      "--customer acme --reason" +
		      std::string(" trial") + system_options));
	EXPECT_EQ("{\"name\":\"e1\",\"setting\":\"queue_max\",\"value\":9,"
		  "\"reason\":\"trial\",\"customer\":\"acme\"}",
		  calls[0].body);
	EXPECT_EQ("*", calls[0].version);
	EXPECT_EQ(CLI_DONE, run("drain plan d1 --kind zone --target a1 "
				"--ramp-s 60 --force --reason works" +
				system_options));
	EXPECT_EQ("{\"name\":\"d1\",\"kind\":\"zone\",\"target\":\"a1\","
		  "\"ramp_s\":60,\"reason\":\"works\",\"forced\":true}",
		  calls[1].body);
	EXPECT_EQ(CLI_DONE,
		  run("exception remove e1 --reason over" + system_options));
	EXPECT_EQ("/v1/exceptions/e1", calls[2].target);
	EXPECT_EQ("{\"reason\":\"over\"}", calls[2].body);
}

// The output of "config show" must be a document that can be applied again.
TEST_F(Cli, ConfigShowAndDiff)
{
	responder = [](const struct sent &, unsigned *, std::string *body) {
		*body = "zones:\n- {name: a1, region: a}\n"
			"- {name: b1, region: b}\n";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE, run("config show" + system_options));
	EXPECT_EQ(0u, out.find("# version 7\nzones:\n")) << out;
	EXPECT_EQ(CLI_DONE, run("config diff @fleet" + system_options));
	EXPECT_EQ("  zones:\n- - {name: b1, region: b}\n", out);
	EXPECT_EQ(CLI_DONE, run("config diff --json @fleet" + system_options));
	EXPECT_EQ("{\"version\":7,\"differences\":[{\"change\":\"removed\","
		  "\"section\":\"zones\",\"line\":"
		  "\"- {name: b1, region: b}\"}]}\n",
		  out);
	write("fleet", "zones: [{name: a1, region: a},"
		       " {name: b1, region: c}]\n");
	EXPECT_EQ(CLI_DONE, run("config diff @fleet" + system_options));
	EXPECT_EQ("  zones:\n- - {name: b1, region: b}\n"
		  "+ - {name: b1, region: c}\n",
		  out);
	write("fleet", "zones:\n  - name: a1\n    region: a\n"
		       "  - name: b1\n    region: b\n");
	EXPECT_EQ(CLI_DONE, run("config diff @fleet" + system_options));
	EXPECT_EQ("no difference from version 7\n", out);
}

// A choice of a server lists the servers that were compared, which do not fit
// into the cell of a table.
TEST_F(Cli, NestedListsArePrintedAsBlocks)
{
	responder = [](const struct sent &, unsigned *, std::string *body) {
		*body = "{\"note\":\"\",\"choices\":[{\"seen_age_ms\":1,"
			"\"servers\":[{\"server\":\"s1\",\"held_slots\":4}]}],"
			"\"voters\":[\"c1\",\"c2\"]}";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE, run("status" + system_options));
	EXPECT_EQ("note    -\n"
		  "choices 1 of 1:\n"
		  "  seen_age_ms  1\n"
		  "  servers:\n"
		  "    SERVER  HELD_SLOTS\n"
		  "    s1      4\n"
		  "voters  c1, c2\n",
		  out);
}

// An instance that does not respond may be the one that has the decisions, so
// without it the result is "unreachable" and not "there are none".
TEST_F(Cli, ExplainQueriesAllInstances)
{
	const std::string line = "explain e1-0123456789abcdef --token-file "
				 "@token --entry 127.0.0.1:1,127.0.0.1:2 "
				 "--control 127.0.0.1:9";

	responder = [](const struct sent &sent, unsigned *status,
		       std::string *body) {
		if (sent.address == "127.0.0.1:1")
			*status = 404;
		*body = "{\"request_id\":\"e1\",\"decisions\":[{\"setting\":"
			"\"queue_max\",\"value\":200},{\"setting\":\"x\","
			"\"reason\":\"why\\u001b\"}]}";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE, run(line));
	EXPECT_EQ("/v1/decisions/e1-0123456789abcdef", calls[1].target);
	EXPECT_EQ("request_id  e1\n"
		  "decisions:\n"
		  "  SETTING    VALUE  REASON\n"
		  "  queue_max  200    -\n"
		  "  x          -      why?\n",
		  out);
	responder = [](const struct sent &, unsigned *status, std::string *) {
		*status = 404;
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_REFUSED, run(line));
	responder = [](const struct sent &sent, unsigned *status,
		       std::string *) {
		*status = 404;
		return sent.address == "127.0.0.1:1" ? CLI_CALL_NOT_SENT :
						       CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_UNREACHABLE, run(line));
}

TEST_F(Cli, JsonIsPrintedUnchanged)
{
	responder = [](const struct sent &, unsigned *, std::string *body) {
		*body = "{\"keys\": []}";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_DONE, run("key list --json" + system_options));
	EXPECT_EQ("{\"keys\": []}\n", out);
	EXPECT_EQ(CLI_DONE, run("key list" + system_options));
	EXPECT_EQ("keys  none\n", out);
	responder = [](const struct sent &, unsigned *, std::string *body) {
		*body = "<html>";
		return CLI_CALL_DONE;
	};
	EXPECT_EQ(CLI_UNREACHABLE, run("key list" + system_options));
}

// A second cluster beside the first one would accept changes of its own, so
// "init" must not create one.
TEST_F(Cli, InitIsRefusedWhenAnotherInstanceListens)
{
	accepting = "127.0.0.1:3";
	EXPECT_EQ(CLI_REFUSED, run("init -c @settings"));
	EXPECT_NE(std::string::npos, err.find("\"c2\"")) << err;
	EXPECT_EQ("", created_in);
	// The address of the instance itself does not count.
	accepting = "127.0.0.1:2";
	EXPECT_EQ(CLI_DONE, run("init -c @settings")) << err;
	EXPECT_EQ(dir + "/data", created_in);
	create_result = false;
	EXPECT_EQ(CLI_REFUSED, run("init -c @settings"));
	EXPECT_NE(std::string::npos, err.find("not empty"));
}

TEST_F(Cli, RunPassesTheSettings)
{
	EXPECT_EQ(0, run("run -c @settings")) << err;
}
