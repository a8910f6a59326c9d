#include <gtest/gtest.h>

#include <string>

#include "compress.h"

namespace {

// Guards against records that change on their way, and against compressed
// bytes of a peer that make more of themselves than they announce.
TEST(compress, round_trip_and_bad_input)
{
    std::string routes;
    for (int i = 0; i < 500; i++) {
        routes += "{\"name\":\"r" + std::to_string(i) + "\",\"aim_ms\":300},";
    }
    GByteArray *packed = g_byte_array_new();
    ASSERT_TRUE(rp_compress((const uint8_t *)routes.data(),
                            (uint32_t)routes.size(), packed));
    EXPECT_LT(packed->len, routes.size() / 5);
    struct {
        const char *what;
        uint32_t bytes;
        uint32_t plain_bytes;
        bool good;
    } cases[] = {
        {"as sent", packed->len, (uint32_t)routes.size(), true},
        {"cut off", packed->len / 2, (uint32_t)routes.size(), false},
        {"announces less", packed->len, (uint32_t)routes.size() - 1, false},
        {"announces more", packed->len, (uint32_t)routes.size() + 1, false},
        {"empty", 0, (uint32_t)routes.size(), false},
    };
    for (const auto &entry : cases) {
        GByteArray *plain = g_byte_array_new();
        EXPECT_EQ(
            rp_decompress(packed->data, entry.bytes, entry.plain_bytes, plain),
            entry.good)
            << entry.what;
        std::string got((const char *)plain->data, plain->len);
        EXPECT_EQ(got, entry.good ? routes : "") << entry.what;
        g_byte_array_unref(plain);
    }
    g_byte_array_unref(packed);
}

// Guards against bytes that grow by being compressed.
TEST(compress, refuses_incompressible_data)
{
    const uint8_t noise[] = {1, 77, 200, 3, 9, 250, 31, 64};
    GByteArray *packed = g_byte_array_new();
    EXPECT_FALSE(rp_compress(noise, sizeof(noise), packed));
    EXPECT_EQ(packed->len, 0u);
    g_byte_array_unref(packed);
}

} // namespace
