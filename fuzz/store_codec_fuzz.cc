/// Fuzzes what the store answers, and the items of other programs in it.
#include "../platform/store_codec.h"
#include "fuzz_input.h"

namespace sassafrasdyke::platform {
namespace {

/// A fault is a part of one line of the log.
constexpr std::size_t kGreatestFault = 200;

void CheckItem(const std::string& key, const std::string& value) {
  const auto item = StoreCodec().ReadItem(key, value);
  fuzz::Require(item.has_value() || item.error().size() <= kGreatestFault);
}

void CheckAnswer(const std::string& body) {
  const StoreCodec codec;
  if (const auto page = codec.ReadPage(body)) {
    fuzz::Require(!page->more || !page->last_key.empty());
    for (const core::Item& item : page->items) {
      CheckItem(item.key, item.value.value_or(""));
    }
  }
  if (const auto batch = codec.ReadChanges(body)) {
    for (const core::Item& item : batch->changes) {
      CheckItem(item.key, item.value.value_or(""));
    }
  }
}

}  // namespace
}  // namespace sassafrasdyke::platform

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(sassafrasdyke::fuzz::Text(data, size));
  sassafrasdyke::platform::CheckAnswer(text);
  for (const char* const key :
       {"configuration", "target/i-1", "evacuation/north"}) {
    sassafrasdyke::platform::CheckItem(key, text);
  }
  return 0;
}
