// Conversion between Lua and JSON values.
#ifndef CACTUSWARD_TESTS_SUPPORT_LUA_JSON_H_
#define CACTUSWARD_TESTS_SUPPORT_LUA_JSON_H_

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace cactusward::test {

// Pushes `value` onto the Lua stack; null becomes nil.
void PushJson(lua_State* lua, const nlohmann::json& value);
// Converts the value at `index`. An empty table becomes an object unless its
// field __array is true.
nlohmann::json ReadJson(lua_State* lua, int index);

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_LUA_JSON_H_
