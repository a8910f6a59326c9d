#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "record_set.h"
#include "vm_list.h"
}

namespace {

namespace fs = std::filesystem;

const fs::path EXAMPLES = fs::path(__FILE__).parent_path() / "../examples";

std::string
read(const fs::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Offers a file under the key that its content names.
enum rp_record_verdict
offer(struct rp_record_set *set, const std::string &text, uint64_t revision)
{
    GError *error = nullptr;
    struct rp_record *record =
        rp_record_parse(nullptr, text.data(), text.size(), nullptr, &error);
    if (record == nullptr) {
        ADD_FAILURE() << error->message;
        g_error_free(error);
        return RP_RECORD_REFUSED;
    }
    GBytes *value = g_bytes_new(text.data(), text.size());
    struct rp_record_item item = {record->key, revision, value};
    enum rp_record_verdict verdict =
        rp_record_set_offer(set, &item, nullptr, nullptr);
    g_bytes_unref(value);
    rp_record_free(record);
    return verdict;
}

std::string
summary(const struct rp_snapshot *snapshot, const char *name)
{
    const struct rp_service *service =
        rp_snapshot_find_service(snapshot, name);
    std::string text;
    for (uint32_t i = 0; service != nullptr && i < service->estate_count; i++)
    {
        uint32_t serving = 0;
        for (uint32_t j = 0; j < service->target_count; j++) {
            const struct rp_target *target = &service->targets[j];
            serving += target->estate == i && !target->draining ? 1 : 0;
        }
        text += std::string(i > 0 ? " " : "") + service->estates[i].name +
                "=" + std::to_string(service->estates[i].share_permille) +
                "/" + std::to_string(serving);
    }
    return text;
}

// Guards against examples that this release refuses, that are inconsistent, or
// that are published under a wrong key.
TEST(examples, deployments_are_valid)
{
    struct {
        const char *name;
        uint32_t services;
        uint32_t entry_vms;
        uint32_t targets;
    } cases[] = {{"bantay-daan", 4, 14, 36}, {"cubetas-errazkin", 4, 14, 31}};
    for (const auto &entry : cases) {
        fs::path base = EXAMPLES / entry.name;
        struct rp_record_set *set = rp_record_set_new();
        for (const auto &file :
             fs::recursive_directory_iterator(base / "records")) {
            if (!file.is_regular_file()) {
                continue;
            }
            std::string text = read(file.path());
            std::string key = fs::relative(file.path(), base / "records")
                                  .replace_extension("")
                                  .string();
            EXPECT_EQ(offer(set, text, 1), RP_RECORD_ACCEPTED) << key;
            EXPECT_TRUE(rp_record_set_find(set, key.c_str(), nullptr, nullptr))
                << key;
        }
        GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
        struct rp_snapshot *snapshot =
            rp_record_set_build(set, nullptr, warnings);
        EXPECT_EQ(warnings->len, 0u) << entry.name;
        EXPECT_EQ(rp_snapshot_service_count(snapshot), entry.services);
        uint32_t targets = 0;
        for (uint32_t i = 0; i < entry.services; i++) {
            targets += rp_snapshot_get_service(snapshot, i)->target_count;
        }
        EXPECT_EQ(targets, entry.targets);
        std::string vms =
            "{\"as_of_ms\":1,\"vms\":" + read(base / "vms.json") + "}";
        struct rp_vm_list *list =
            rp_vm_list_parse(vms.data(), vms.size(), nullptr);
        ASSERT_NE(list, nullptr);
        EXPECT_EQ(rp_vm_list_count(list), entry.entry_vms + entry.targets);
        rp_vm_list_unref(list);
        g_ptr_array_unref(warnings);
        rp_snapshot_unref(snapshot);
        rp_record_set_free(set);
    }
}

// Guards against a handover whose steps move requests too early, leave
// requests without a target, or depend on the order in which they arrive.
TEST(examples, handover_steps)
{
    // Estate, share and serving targets, after each step.
    const char *expected[] = {
        "old=1000/4",         "old=1000/4",         "old=1000/4",
        "old=1000/4 new=0/3", "old=950/4 new=50/3", "old=500/4 new=500/3",
        "old=0/4 new=1000/3", "old=0/0 new=1000/3", "new=1000/3",
        "new=1000/3",
    };
    std::vector<std::string> steps;
    std::vector<fs::path> files;
    for (const auto &file : fs::directory_iterator(EXAMPLES / "handover")) {
        files.push_back(file.path());
    }
    std::sort(files.begin(), files.end());
    ASSERT_EQ(files.size(), std::size(expected));
    struct rp_record_set *set = rp_record_set_new();
    for (size_t i = 0; i < files.size(); i++) {
        steps.push_back(read(files[i]));
        EXPECT_EQ(offer(set, steps[i], i + 1), RP_RECORD_ACCEPTED) << files[i];
        struct rp_snapshot *snapshot =
            rp_record_set_build(set, nullptr, nullptr);
        EXPECT_EQ(summary(snapshot, "replacement-orders"), expected[i])
            << files[i];
        rp_snapshot_unref(snapshot);
    }
    struct rp_record_set *reversed_set = rp_record_set_new();
    for (size_t i = steps.size(); i > 0; i--) {
        offer(reversed_set, steps[i - 1], i);
    }
    EXPECT_EQ(rp_record_set_digest(reversed_set), rp_record_set_digest(set));
    rp_record_set_free(reversed_set);
    rp_record_set_free(set);
}

} // namespace
