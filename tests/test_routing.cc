/* Routes by host and longest prefix, backends by weight, and the catalogue
 * that is built from a store with routes. */
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "routing.h"

namespace {

const char CONFIG[] = R"({"version": 7, "routes": [
  {"name": "all", "host": "a.example", "prefix": "/", "idempotent": true,
   "timeout_ms": 500, "max_attempts": 2,
   "backends": [{"shards": [{"service": "one"}]}]},
  {"name": "deep", "host": "a.example", "prefix": "/x/y/",
   "backends": [{"shards": [{"service": "one"}], "weight": 3},
                {"shards": [{"service": "two"}], "weight": 1}]},
  {"name": "wide", "host": "b.example", "prefix": "/q/", "scatter": true,
   "idempotent": true, "objective_ms": 60, "rank": 2, "top_k": 5, "min_coverage": 0.75,
   "backends": [{"shards": [{"service": "one"}, {"service": "two"}]}]}],
  "pools": [{"name": "one", "connections": 12}]})";

const char TARGET[] = R"({"id": "i-1", "service": "one",
  "address": "10.0.0.1:80", "zone": "z", "slots": 3, "born_ms": %BORN%})";

class Routing : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        store = LrValueSet_New();
        faults = LrFaults_New();
        LrValueSet_SetRevision(store, 9);
        LrValueSet_Set(store, LR_ROUTING_VALUE, 3, LrStr_FromC(CONFIG));
    }

    void
    TearDown() override
    {
        LrCatalogue_Unref(catalogue);
        LrValueSet_Free(store);
        LrFaults_Free(faults);
    }

    void
    build()
    {
        LrCatalogue *previous = catalogue;
        catalogue = LrRouting_Build(store, previous, faults);
        LrCatalogue_Unref(previous);
    }

    std::string
    lookup(const char *host, const char *path)
    {
        const LrRoute *route = LrRoutes_Match(
            LrRouting_Routes(catalogue), LrStr_FromC(host), LrStr_FromC(path));
        return route
                   ? std::string(route->spec->name.ptr, route->spec->name.len)
                   : "none";
    }

    void
    add_target(const char *born)
    {
        std::string text = TARGET;
        text.replace(text.find("%BORN%"), 6, born);
        LrValueSet_Set(store, LR_INSTANCE_PREFIX "i-1", 4,
                       {text.data(), text.size()});
    }

    const LrTargetSpec *
    first_target()
    {
        const LrGroupSpec *group =
            &catalogue->spec.services[0].maps[0].groups[0];
        return group->n_replicas ? &group->replicas[0] : nullptr;
    }

    LrValueSet *store;
    LrFaults *faults;
    LrCatalogue *catalogue = nullptr;
};

} // namespace

TEST_F(Routing, LongestPrefixOfTheHostWins)
{
    build();
    ASSERT_TRUE(catalogue);
    EXPECT_EQ(lookup("a.example", "/x/y/z"), "deep");
    EXPECT_EQ(lookup("a.example", "/x/y/"), "deep");
    EXPECT_EQ(lookup("a.example", "/x/y"), "all");
    EXPECT_EQ(lookup("A.Example:8080", "/x/yy/"), "all");
    EXPECT_EQ(lookup("b.example", "/q/1"), "wide");
    EXPECT_EQ(lookup("b.example", "/r"), "none");
    EXPECT_EQ(lookup("c.example", "/"), "none");
    EXPECT_EQ(lookup("a.example", ""), "none");
}

TEST_F(Routing, BackendsGetTheirWeightInAnySequence)
{
    build();
    LrRoute *route =
        LrRoutes_Match(LrRouting_Routes(catalogue), LrStr_FromC("a.example"),
                       LrStr_FromC("/x/y/"));
    std::map<std::string, int> counts;
    for (int i = 1; i <= 400; i++) {
        LrStr entry = LrRoute_NextEntry(route);
        counts[std::string(entry.ptr, entry.len)]++;
        EXPECT_NEAR(counts["deep#0"], 0.75 * i, 1.01);
    }
}

TEST_F(Routing, AMissingConfigurationIsNoFault)
{
    LrValueSet_Remove(store, LR_ROUTING_VALUE, 5);
    build();
    EXPECT_FALSE(catalogue);
    EXPECT_EQ(LrFaults_Count(faults), 0U);
}

TEST_F(Routing, AnInvalidConfigurationIsRefusedWithItsFaults)
{
    LrValueSet_Set(
        store, LR_ROUTING_VALUE, 5,
        LrStr_FromC("{\"routes\": [{\"name\": 1}], \"pools\": []}"));
    build();
    EXPECT_FALSE(catalogue);
    EXPECT_GE(LrFaults_Count(faults), 2U);
}

TEST_F(Routing, ARestartedTargetIsAnotherTarget)
{
    add_target("100");
    build();
    std::string before(first_target()->name.ptr, first_target()->name.len);
    EXPECT_TRUE(LrStr_EqualC(first_target()->instance, "i-1"));
    add_target("200");
    build();
    std::string after(first_target()->name.ptr, first_target()->name.len);
    EXPECT_NE(before, after);
}

TEST_F(Routing, AnInvalidTargetDoesNotAffectOthers)
{
    add_target("1");
    LrValueSet_Set(store, LR_INSTANCE_PREFIX "i-2", 4, LrStr_FromC("\x01{"));
    build();
    ASSERT_TRUE(catalogue);
    EXPECT_TRUE(first_target());
}

TEST_F(Routing, LeavingTargetsAreNotReplicas)
{
    LrValueSet_Set(store, LR_INSTANCE_PREFIX "i-1", 4,
                   LrStr_FromC(R"({"id": "i-1", "service": "one",
                 "address": "10.0.0.1:80", "leaving": true})"));
    build();
    EXPECT_FALSE(first_target());
}

TEST_F(Routing, EntriesCarryTheLimitsOfTheirRoute)
{
    build();
    const LrEntrySpec *wide = &catalogue->spec.entries[3];
    EXPECT_TRUE(wide->strict_coverage);
    EXPECT_DOUBLE_EQ(wide->min_coverage, 0.75);
    EXPECT_EQ(wide->soft_deadline_ms, 60);
    EXPECT_EQ(wide->rank, 2) << "urgency must not get lost on the way";
    EXPECT_EQ(catalogue->spec.entries[0].max_attempts, 2);
    EXPECT_EQ(catalogue->spec.services[0].connections, 12);
}

// The cost of a change of one target must not grow with the configuration.
TEST_F(Routing, WhatHasNotChangedIsSharedWithThePreviousCatalogue)
{
    add_target("100");
    build();
    const LrRoutes *routes = LrRouting_Routes(catalogue);
    const char *name = first_target()->name.ptr;
    LrValueSet_Set(store, LR_INSTANCE_PREFIX "i-2", 5,
                   LrStr_FromC(R"({"id": "i-2", "service": "two",
                 "address": "10.0.0.2:80", "zone": "z", "born_ms": 1})"));
    build();
    EXPECT_EQ(LrRouting_Routes(catalogue), routes);
    EXPECT_EQ(first_target()->name.ptr, name);
    LrValueSet_Remove(store, LR_INSTANCE_PREFIX "i-1", 6);
    build();
    EXPECT_FALSE(first_target());
    std::string other = CONFIG;
    other.replace(other.find("12}"), 2, "13");
    LrValueSet_Set(store, LR_ROUTING_VALUE, 7, {other.data(), other.size()});
    build();
    EXPECT_NE(LrRouting_Routes(catalogue), routes);
    EXPECT_EQ(catalogue->spec.services[0].connections, 13);
}

// A change of one route cost the time of all: hosts with a tenth of a core
// stood still for half a second.
TEST_F(Routing, RoutesThatHaveNotChangedAreSharedWithThePreviousConfiguration)
{
    build();
    auto text_of = [&](int index) {
        return LrRoutes_Spec(LrRouting_Routes(catalogue))
            ->routes[index]
            .prefix.ptr;
    };
    const char *all = text_of(0);
    const char *deep = text_of(1);
    const char *wide = text_of(2);
    std::string other = CONFIG;
    other.replace(other.find("7,"), 2, "8,");
    other.replace(other.find("/x/y/"), 5, "/x/z/");
    LrValueSet_Set(store, LR_ROUTING_VALUE, 5, {other.data(), other.size()});
    build();
    EXPECT_EQ(text_of(0), all);
    EXPECT_NE(text_of(1), deep);
    EXPECT_EQ(text_of(2), wide);
    EXPECT_EQ(lookup("a.example", "/x/z/1"), "deep");
    EXPECT_EQ(lookup("a.example", "/x/y/1"), "all");
    EXPECT_EQ(LrFaults_Count(faults), 0u);
}

TEST_F(Routing, AnyOrderOfChangesGivesWhatTheLastConfigurationGivesAlone)
{
    LrRandom *random = LrRandom_New(21);
    auto dump = [](const LrCatalogue *built) {
        std::string text;
        LrRoutes *routes = LrRouting_Routes(built);
        const LrRoutingSpec *spec = LrRoutes_Spec(routes);
        for (size_t i = 0; i < spec->n_routes; i++) {
            LrStr path = spec->routes[i].prefix;
            LrRoute *route =
                LrRoutes_Match(routes, LrStr_FromC("a.example"), path);
            text += std::string(path.ptr, path.len) + "=" +
                    std::string(route->spec->name.ptr, route->spec->name.len) +
                    "/" + std::to_string(LrRoutes_Digest(routes, route)) + " ";
        }
        for (size_t i = 0; i < built->spec.n_entries; i++) {
            const LrEntrySpec *entry = &built->spec.entries[i];
            text += std::string(entry->name.ptr, entry->name.len) + "@" +
                    std::string(entry->service.ptr, entry->service.len) + "," +
                    std::to_string(entry->deadline_ms) + " ";
        }
        return text;
    };
    for (int version = 10; version < 210; version++) {
        std::string text =
            "{\"version\":" + std::to_string(version) + ",\"routes\":[";
        uint32_t n = LrRandom_Below(random, 12);
        for (uint32_t i = 0; i < n; i++) {
            std::string id = std::to_string(LrRandom_Below(random, 15));
            text += std::string(i > 0 ? "," : "") + "{\"name\":\"r" + id +
                    "\",\"host\":\"a.example\",\"prefix\":\"/" + id +
                    "/\",\"timeout_ms\":" +
                    std::to_string(100 + LrRandom_Below(random, 2)) +
                    ",\"backends\":[{\"shards\":[{\"service\":\"one\"}]}]}";
        }
        text += "],\"pools\":[]}";
        LrValueSet_Set(store, LR_ROUTING_VALUE, version,
                       {text.data(), text.size()});
        build();
        LrCatalogue *alone = LrRouting_Build(store, nullptr, faults);
        ASSERT_NE(alone, nullptr);
        EXPECT_EQ(dump(catalogue), dump(alone));
        LrCatalogue_Unref(alone);
    }
    LrRandom_Free(random);
}

TEST_F(Routing, EveryFaultOfEveryRouteIsReported)
{
    build();
    std::string other = CONFIG;
    other.replace(other.find("500"), 3, "-1");
    other.replace(other.find("0.75"), 4, "\"x\"");
    other.replace(other.find("12}"), 2, "\"y\"");
    LrValueSet_Set(store, LR_ROUTING_VALUE, 5, {other.data(), other.size()});
    EXPECT_EQ(LrRouting_Build(store, catalogue, faults), nullptr);
    char *text = LrFaults_ToText(faults);
    for (const char *path :
         {"$.routes[0].timeout_ms", "$.routes[2].min_coverage",
          "$.pools[0].connections"}) {
        EXPECT_NE(std::string(text).find(path), std::string::npos) << text;
    }
    g_free(text);
}

TEST_F(Routing, NamesWithEscapesAreRead)
{
    std::string escaped = CONFIG;
    escaped.replace(escaped.find("\"routes\""), 8, "\"r\\u006futes\"");
    LrValueSet_Set(store, LR_ROUTING_VALUE, 3,
                   {escaped.data(), escaped.size()});
    build();
    ASSERT_NE(catalogue, nullptr);
    EXPECT_EQ(lookup("a.example", "/x/y/1"), "deep");
}

// Without a fault it would count as no configuration, and be accepted.
TEST_F(Routing, AListOfRoutesThatIsMalformedIsAFault)
{
    build();
    for (const char *list : {"[{} {}]", "[{},]", "[,]", "[5]", "[{\"a\":}]"}) {
        std::string other = "{\"version\":8,\"routes\":" + std::string(list) +
                            ",\"pools\":[]}";
        LrFaults *found = LrFaults_New();
        LrValueSet_Set(store, LR_ROUTING_VALUE, 5,
                       {other.data(), other.size()});
        EXPECT_EQ(LrRouting_Build(store, catalogue, found), nullptr);
        EXPECT_GT(LrFaults_Count(found), 0u) << list;
        LrFaults_Free(found);
    }
}

// Targets that come and go must not restart the weighted round robin of
// backends.
TEST_F(Routing, RoundRobinContinuesWhenTargetsChange)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 8; i++) {
        add_target(std::to_string(100 + i).c_str());
        build();
        LrRoute *route =
            LrRoutes_Match(LrRouting_Routes(catalogue),
                           LrStr_FromC("a.example"), LrStr_FromC("/x/y/z"));
        LrStr entry = LrRoute_NextEntry(route);
        counts[std::string(entry.ptr, entry.len)]++;
    }
    EXPECT_EQ(counts["deep#0"], 6);
    EXPECT_EQ(counts["deep#1"], 2);
}

// Hosts with different configurations may forward each other requests of
// routes that both define alike, and of no others.
TEST_F(Routing, TheDigestOfARouteTellsWhetherTwoConfigurationsAgree)
{
    build();
    auto digest = [&](const char *name) {
        LrRoutes *routes = LrRouting_Routes(catalogue);
        LrRoute *route = LrRoutes_FindByName(routes, LrStr_FromC(name));
        return route ? LrRoutes_Digest(routes, route) : 0;
    };
    uint64_t all = digest("all");
    uint64_t wide = digest("wide");
    EXPECT_NE(all, 0U);
    EXPECT_NE(all, wide);
    EXPECT_EQ(digest("none"), 0U);
    std::string changed = CONFIG;
    changed.replace(changed.find("\"version\": 7"), 12, "\"version\": 8");
    changed.replace(changed.rfind("{\"service\": \"two\"}"), 18,
                    "{\"service\": \"new\"}");
    LrValueSet_Set(store, LR_ROUTING_VALUE, 5,
                   {changed.data(), changed.size()});
    LrValueSet_SetRevision(store, 10);
    build();
    ASSERT_TRUE(catalogue);
    EXPECT_EQ(digest("all"), all);
    EXPECT_NE(digest("wide"), wide);
}

TEST_F(Routing, OnlyEntriesOfTheRouteAreFound)
{
    build();
    LrRoute *route =
        LrRoutes_FindByName(LrRouting_Routes(catalogue), LrStr_FromC("deep"));
    ASSERT_TRUE(route);
    EXPECT_TRUE(LrStr_EqualC(LrRoute_FindEntry(route, LrStr_FromC("deep#1")),
                             "deep#1"));
    EXPECT_EQ(LrRoute_FindEntry(route, LrStr_FromC("all#0")).len, 0U);
    EXPECT_EQ(LrRoute_FindEntry(route, LrStr_FromC("")).len, 0U);
}

TEST_F(Routing, AConfigurationOfALowerVersionIsNotUsed)
{
    build();
    std::string older = CONFIG;
    older.replace(older.find("\"version\": 7"), 12, "\"version\": 6");
    older.replace(older.find("deep"), 4, "shallow");
    LrValueSet_SetRevision(store, 11);
    LrValueSet_Set(store, LR_ROUTING_VALUE, 11, {older.data(), older.size()});
    add_target("1");
    build();
    ASSERT_TRUE(catalogue);
    EXPECT_EQ(lookup("a.example", "/x/y/z"), "deep");
    EXPECT_TRUE(LrRouting_IsHeld(catalogue));
    EXPECT_EQ(catalogue->spec.revision, 11);
    ASSERT_TRUE(first_target()) << "targets are those of the store";
    std::string newer = CONFIG;
    newer.replace(newer.find("\"version\": 7"), 12, "\"version\": 8");
    newer.replace(newer.find("deep"), 4, "newer");
    LrValueSet_Set(store, LR_ROUTING_VALUE, 12, {newer.data(), newer.size()});
    build();
    EXPECT_EQ(lookup("a.example", "/x/y/z"), "newer");
    EXPECT_FALSE(LrRouting_IsHeld(catalogue));
}

TEST_F(Routing, EvacuatedZonesAreThoseOfTheStore)
{
    size_t n_zones;
    build();
    LrRouting_EvacuatedZones(catalogue, &n_zones);
    EXPECT_EQ(n_zones, 0u);
    LrValueSet_Set(store, LR_EVACUATED_PREFIX "z", 5, LrStr_FromC("{}"));
    build();
    const LrStr *zones = LrRouting_EvacuatedZones(catalogue, &n_zones);
    ASSERT_EQ(n_zones, 1u);
    EXPECT_TRUE(LrStr_EqualC(zones[0], "z"));
    add_target("0");
    build();
    EXPECT_NE(first_target(), nullptr)
        << "its targets stay in the catalogue, and are checked";
}
