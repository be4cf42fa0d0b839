// Values between Lua and JSON.
#ifndef CACTUSWARD_TESTS_SUPPORT_LUA_JSON_H_
#define CACTUSWARD_TESTS_SUPPORT_LUA_JSON_H_

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace cactusward::test {

// Pushes `value`; null becomes nil.
void PushJson(lua_State* lua, const nlohmann::json& value);
// Reads the value at `index`; an empty table becomes an object unless its
// field __array is set.
nlohmann::json ReadJson(lua_State* lua, int index);

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_LUA_JSON_H_
