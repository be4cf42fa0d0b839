#include "src/relay/relay_protocol.h"

#include <array>

namespace cactusward {

void RemoveConnectionFields(http::fields* fields) {
  std::vector<std::string> named;
  for (const auto& option :
       http::token_list((*fields)[http::field::connection]))
    named.emplace_back(option);
  for (const std::string& name : named)
    fields->erase(name);
  constexpr std::array kFields = {http::field::connection,
                                  http::field::keep_alive,
                                  http::field::proxy_authenticate,
                                  http::field::proxy_authorization,
                                  http::field::proxy_connection,
                                  http::field::te,
                                  http::field::trailer,
                                  http::field::transfer_encoding,
                                  http::field::upgrade,
                                  http::field::expect};
  for (const http::field field : kFields)
    fields->erase(field);
}

}  // namespace cactusward
