/* Guards against outdated documents: the lists of counters and settings in
 * docs/ must name exactly those of the program. */
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "counter.h"
#include "setting.h"

namespace {

using Row = std::vector<std::string>;
using Table = std::map<std::string, Row>;

std::string
Trim(const std::string &text)
{
    size_t begin = text.find_first_not_of(" `");
    size_t end = text.find_last_not_of(" `");
    return begin == std::string::npos ? ""
                                      : text.substr(begin, end - begin + 1);
}

Row
SplitRow(const std::string &line)
{
    Row cells;
    std::istringstream stream(line.substr(1));
    for (std::string cell; std::getline(stream, cell, '|');) {
        cells.push_back(Trim(cell));
    }
    return cells;
}

/* Returns the rows of the tables below a heading whose first cell is a name
 * in backquotes, by that name. */
Table
ReadTable(const std::string &page, const std::string &heading)
{
    Table table;
    std::ifstream file(std::string(RP_DOCS_DIR "/") + page);
    EXPECT_TRUE(file.good()) << page << " cannot be read";
    bool inside = false;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("## ", 0) == 0) {
            inside = line == heading;
        }
        else if (inside && line.rfind("| `", 0) == 0) {
            Row row = SplitRow(line);
            EXPECT_TRUE(table.emplace(row[0], row).second)
                << page << " lists " << row[0] << " twice";
        }
    }
    return table;
}

/* Guards against counters that only the page or only the code has, and
 * against a wrong kind or a missing unit or meaning in the page. */
TEST(Interfaces, DocumentedCountersMatchCode)
{
    Table table = ReadTable("interfaces.md", "## Counters");
    for (int i = 0; i < RP_COUNTER_COUNT; i++) {
        auto counter = static_cast<enum rp_counter>(i);
        auto found = table.find(rp_counter_name(counter));
        if (found == table.end()) {
            ADD_FAILURE() << rp_counter_name(counter) << " is not listed";
            continue;
        }
        Row row = found->second;
        row.resize(4);
        bool gauge = rp_counter_kind(counter) == RP_COUNTER_KIND_GAUGE;
        EXPECT_EQ(row[1], gauge ? "gauge" : "counter") << row[0];
        EXPECT_NE(row[2], "") << row[0] << " has no unit";
        EXPECT_NE(row[3], "") << row[0] << " has no meaning";
        table.erase(found);
    }
    for (const auto &entry : table) {
        ADD_FAILURE() << entry.first << " is not a counter of the code";
    }
}

/* Returns the default of a setting in the notation of the page. */
std::string
DefaultText(const struct rp_settings *settings, enum rp_setting setting)
{
    const char *text = rp_settings_text(settings, setting);
    if (text == nullptr) {
        return "required";
    }
    return text[0] == '\0' ? "none" : text;
}

/* Guards against settings that only the page or only the code has, and
 * against a wrong default or a missing range or meaning in the page. */
TEST(Interfaces, DocumentedSettingsMatchCode)
{
    Table table = ReadTable("operators.md", "## Settings");
    struct rp_settings *settings = rp_settings_new();
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        auto setting = static_cast<enum rp_setting>(i);
        auto found = table.find(rp_setting_flag(setting));
        if (found == table.end()) {
            ADD_FAILURE() << rp_setting_flag(setting) << " is not listed";
            continue;
        }
        Row row = found->second;
        row.resize(4);
        EXPECT_NE(row[1], "") << row[0] << " has no range";
        EXPECT_EQ(row[2], DefaultText(settings, setting)) << row[0];
        EXPECT_NE(row[3], "") << row[0] << " has no meaning";
        table.erase(found);
    }
    rp_settings_free(settings);
    for (const auto &entry : table) {
        ADD_FAILURE() << entry.first << " is not a setting of the code";
    }
}

} // namespace
