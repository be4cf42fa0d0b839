// Decorator of the platform's catalog with slow decoding, as for a large
// configuration on a small share of a core.
#ifndef CACTUSWARD_TESTS_SUPPORT_SLOW_CATALOG_H_
#define CACTUSWARD_TESTS_SUPPORT_SLOW_CATALOG_H_

#include <memory>
#include <string>
#include <utility>

#include "src/relay/catalog_source.h"

namespace cactusward::testing {

class slow_catalog : public catalog_source {
 public:
  // Precondition: `decode_count` outlives the catalog.
  slow_catalog(std::unique_ptr<catalog_source> catalog,
               milliseconds decode_time,
               int* decode_count)
      : catalog_(std::move(catalog)),
        decode_time_(decode_time),
        decode_count_(decode_count) {}

  void SetDecodeTime(milliseconds time) { decode_time_ = time; }
  result<catalog_batch> ReadUpstreams(asio::yield_context yield) override {
    return catalog_->ReadUpstreams(yield);
  }
  result<catalog_batch> WaitForChanges(const registry_position& after,
                                       asio::yield_context yield) override {
    return catalog_->WaitForChanges(after, yield);
  }
  result<catalog_batch> ReadConfig(asio::yield_context yield) override {
    return catalog_->ReadConfig(yield);
  }
  result<registry_position> ReadPosition(asio::yield_context yield) override {
    return catalog_->ReadPosition(yield);
  }
  result<std::shared_ptr<const forward_config>> DecodeConfig(
      const std::string& document,
      const std::function<void()>& pause) const override {
    ++*decode_count_;
    const time_point until = clock::now() + decode_time_;
    while (clock::now() < until)
      pause();
    return catalog_->DecodeConfig(document, pause);
  }
  result<upstream_entry> DecodeUpstream(
      const std::string& id,
      const std::string& document) const override {
    return catalog_->DecodeUpstream(id, document);
  }

 private:
  std::unique_ptr<catalog_source> catalog_;
  milliseconds decode_time_;
  int* decode_count_;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_SLOW_CATALOG_H_
