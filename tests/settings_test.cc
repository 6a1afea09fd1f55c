// Tests the settings file: mistakes in it must be found before a process starts.
#include <cstdlib>
#include <fstream>
#include <string>

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include "mutate.h"
#include "settings.h"

static const char entry_file[] = "role: entry\n"
				 "name: e1\n"
				 "zone: a1\n"
				 "listen:\n"
				 "  callers: 0.0.0.0:8080\n"
				 "  servers: 10.0.0.1:8081\n"
				 "  operators: '[::1]:8082'\n"
				 "advertise: {callers: 10.0.0.1:8080}\n"
				 "controls:\n"
				 "  - {name: c1, address: 10.0.0.2:9000}\n"
				 "  - {name: c2, address: 10.0.0.3:9000}\n"
				 "secrets:\n"
				 "  cluster_file: cluster\n"
				 "  operator_file: operator\n"
				 "  announce_file: announce\n"
				 "limits:\n"
				 "  body_memory_bytes: 10485760\n"
				 "  connections_max: 500\n"
				 "log: {level: debug}\n";

static const char control_file[] =
	"role: control\n"
	"name: c1\n"
	"zone: a1\n"
	"listen: {operators: 10.0.0.2:9001, peers: 0.0.0.0:9000}\n"
	"data_dir: data\n"
	"controls: [{name: c1, address: 10.0.0.2:9000}]\n"
	"secrets: {cluster_file: cluster, operator_file: operator}\n";

class Settings : public ::testing::Test
{
protected:
	void SetUp() override
	{
		char pattern[] = "/tmp/almondward-settings-XXXXXX";

		ASSERT_NE(nullptr, mkdtemp(pattern));
		dir = pattern;
		write("cluster", "cluster-secret-0123456789\nrest\n", 0640);
		write("operator", "operator-token-0123456789\n", 0600);
		write("announce", "announce-token-0123456789", 0600);
		write("short", "0123456789abcde\n", 0600);
		write("long", std::string(256, 'x'), 0600);
		write("open", "operator-token-9876543210\n", 0604);
		write("spaced", "operator token 0123456789\n", 0600);
	}

	void TearDown() override
	{
		for (const char *name :
		     { "cluster", "operator", "announce", "short", "long",
		       "open", "spaced", "f" })
			unlink((dir + "/" + name).c_str());
		rmdir(dir.c_str());
	}

	void write(const std::string &name, const std::string &text,
		   mode_t mode)
	{
		std::ofstream(dir + "/" + name) << text;
		chmod((dir + "/" + name).c_str(), mode);
	}

	// Returns the error message without the directory, "" if there is none.
	std::string load(const std::string &text)
	{
		char cause[8192] = "";
		std::string error;
		size_t at;

		write("f", text, 0600);
		enum set_error result = set_load(
			(dir + "/f").c_str(), &settings, cause, sizeof(cause));
		EXPECT_EQ(result == SET_OK, !*cause);
		error = cause;
		while ((at = error.find(dir + "/")) != std::string::npos)
			error.erase(at, dir.size() + 1);
		return error;
	}

	std::string load_changed(std::string text, const std::string &from,
				 const std::string &to)
	{
		size_t at = text.find(from);

		EXPECT_NE(std::string::npos, at) << from;
		return load(text.replace(at, from.size(), to));
	}

	std::string dir;
	struct set_settings settings;
};

TEST_F(Settings, EntryFileIsRead)
{
	ASSERT_EQ("", load(entry_file));
	EXPECT_EQ(AW__ROLE__ROLE_ENTRY, settings.role);
	EXPECT_STREQ("10.0.0.1:8080", settings.advertise_callers);
	EXPECT_STREQ("[::1]:8082", settings.listen_operators);
	EXPECT_EQ(2u, settings.nr_controls);
	EXPECT_STREQ("10.0.0.3:9000", settings.controls[1].address);
	EXPECT_EQ(25u, settings.cluster_secret_bytes);
	EXPECT_EQ(0, memcmp("cluster-secret-0123456789",
			    settings.cluster_secret, 26));
	EXPECT_STREQ("operator-token-0123456789", settings.operator_token);
	EXPECT_STREQ("announce-token-0123456789", settings.announce_token);
	EXPECT_EQ(10485760u, settings.body_memory_bytes);
	EXPECT_EQ(500u, settings.connections_max);
	EXPECT_EQ(LOG_LEVEL_DEBUG, settings.log_level);
}

TEST_F(Settings, ControlFileIsRead)
{
	ASSERT_EQ("", load(control_file));
	EXPECT_EQ(AW__ROLE__ROLE_CONTROL, settings.role);
	EXPECT_EQ(dir + "/data", settings.data_dir);
	EXPECT_STREQ("0.0.0.0:9000", settings.listen_peers);
	EXPECT_EQ(LOG_LEVEL_INFO, settings.log_level);
}

// A process must not start with wrong settings. The message has the line, the
// name of the setting and the values that are allowed.
TEST_F(Settings, ErrorsNameLineAndCause)
{
	static const struct {
		const char *file, *from, *to, *start, *part;
	} cases[] = {
		{ entry_file, "role: entry", "role: both", "f:1: role",
		  "control, entry" },
		{ entry_file, "role: entry\n", "", "f:1: \"role\"", "missing" },
		{ entry_file, "name: e1", "name: E1", "f:2: name", "a-z" },
		{ entry_file, "name: e1", "name: c2", "f:2: name",
		  "control instance" },
		{ entry_file, "name: e1", "names: e1", "f:2: unknown",
		  "\"names\"" },
		{ entry_file, "zone: a1", "name: e1", "f:3: ", "repeated" },
		{ entry_file, "zone: a1\n", "", "f:1: \"zone\"", "missing" },
		{ entry_file, "0.0.0.0:8080", "8080", "f:5: listen.callers",
		  "IP:port" },
		{ entry_file, "0.0.0.0:8080", "localhost:8080",
		  "f:5: ", "IP:port" },
		{ entry_file, "0.0.0.0:8080", "0.0.0.0:65536",
		  "f:5: ", "1 to 65535" },
		{ entry_file, "10.0.0.1:8081", "10.0.0.1:0",
		  "f:6: ", "IP:port" },
		{ entry_file, "10.0.0.1:8081", "0.0.0.0:8080",
		  "f:6: listen.servers", "listen.callers" },
		{ entry_file, "  servers: 10.0.0.1:8081\n", "",
		  "f:5: ", "listen.servers" },
		{ entry_file, "'[::1]:8082'", "'::1:8082'",
		  "f:7: ", "IP:port" },
		{ entry_file, "'[::1]:8082'",
		  "'[::1]:8082'\n  peers: 1.1.1.1:1",
		  "f:8: ", "not allowed with role entry" },
		{ entry_file, "10.0.0.1:8080", "0.0.0.0:8080",
		  "f:8: ", "connect to" },
		{ entry_file, "advertise: {callers: 10.0.0.1:8080}\n", "",
		  "f:5: ", "advertise.callers" },
		{ entry_file, "name: c2", "name: c1", "f:11: ", "repeated" },
		{ entry_file, "10.0.0.3", "10.0.0.2", "f:11: ", "repeated" },
		{ entry_file, "name: c2, ", "", "f:11: ", "missing" },
		{ entry_file, "cluster_file: cluster", "cluster_file: none",
		  "f:13: secrets.cluster_file", "\"none\"" },
		{ entry_file, "operator_file: operator", "operator_file: short",
		  "f:14: secrets.operator_file", "16 to 255 bytes" },
		{ entry_file, "operator_file: operator", "operator_file: long",
		  "f:14: ", "16 to 255 bytes" },
		{ entry_file, "operator_file: operator", "operator_file: open",
		  "f:14: ", "mode 0604" },
		{ entry_file, "operator_file: operator",
		  "operator_file: spaced", "f:14: ", "visible ASCII" },
		{ entry_file, "operator_file: operator", "operator_file: .",
		  "f:14: ", "regular" },
		{ entry_file, "announce_file: announce",
		  "announce_file: operator", "f:13: ", "same secret" },
		{ entry_file, "announce_file: announce",
		  "announce_file: cluster", "f:13: ", "same secret" },
		{ entry_file, "10485760", "1024", "f:17: limits.body",
		  "1048576 to 1099511627776" },
		{ entry_file, "10485760", "10 MiB", "f:17: limits.body",
		  "whole number" },
		{ entry_file, "connections_max: 500", "connections_max: 0",
		  "f:18: limits.conn", "1 to 1000000" },
		{ entry_file, "debug", "all", "f:19: log.level",
		  "error, warn, info, debug" },
		{ entry_file, "log: {level", "log: {levels",
		  "f:19: ", "\"levels\" in log" },
		{ control_file, "data_dir: data\n", "", "f:1: ", "data_dir" },
		{ control_file, "data_dir: data", "data_dir: data\nlimits: {}",
		  "f:6: ", "not allowed with role control" },
		{ control_file, "name: c1\n", "name: c9\n", "f:6: controls",
		  "\"c9\"" },
		{ control_file, "10.0.0.2:9000}", "0.0.0.0:9000}",
		  "f:6: ", "connect to" },
		{ control_file, "{operators: 10", "{callers: 10",
		  "f:4: ", "not allowed with role control" },
		{ control_file, ", operator_file: operator", "",
		  "f:7: ", "secrets.operator_file" },
		{ control_file, "[{name: c1, address: 10.0.0.2:9000}]", "[]",
		  "f:6: ", "1 to 7" },
	};

	for (const auto &c : cases) {
		std::string error = load_changed(c.file, c.from, c.to);

		EXPECT_EQ(0u, error.find(c.start)) << c.to << ": " << error;
		EXPECT_NE(std::string::npos, error.find(c.part))
			<< c.to << ": " << error;
		// Nothing of a refused file may be left, above all no secret.
		EXPECT_EQ(0u, settings.cluster_secret_bytes) << c.to;
	}
}

TEST_F(Settings, MissingFileIsNamed)
{
	char cause[256];

	EXPECT_EQ(SET_ERR_READ, set_load((dir + "/none").c_str(), &settings,
					 cause, sizeof(cause)));
	EXPECT_EQ(0u, std::string(cause).find(dir + "/none: "));
}

// Randomly damaged files must give an error with a line number, or settings
// within their limits.
TEST_F(Settings, DamagedFileIsRefusedOrKeepsLimits)
{
	std::mt19937 random(11);
	int accepted = 0;

	for (int i = 0; i < 4000; i++) {
		std::string error =
			load(mutate(i % 2 ? entry_file : control_file, random));

		if (!error.empty()) {
			ASSERT_EQ(0u, error.find("f:")) << i << ": " << error;
			continue;
		}
		accepted++;
		ASSERT_TRUE(*settings.name && *settings.zone) << i;
		ASSERT_GE(settings.nr_controls, 1u) << i;
		ASSERT_GE(settings.cluster_secret_bytes, 16u) << i;
		ASSERT_GE(strlen(settings.operator_token), 16u) << i;
		ASSERT_TRUE(*settings.listen_operators) << i;
		ASSERT_GE(settings.body_memory_bytes, 1048576u) << i;
	}
	EXPECT_GT(accepted, 20);
}
