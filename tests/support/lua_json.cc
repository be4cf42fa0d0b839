#include "tests/support/lua_json.h"

namespace cactusward::test {

using nlohmann::json;

void PushJson(lua_State* lua, const json& value) {
  switch (value.type()) {
    case json::value_t::boolean:
      lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
      break;
    case json::value_t::number_integer:
    case json::value_t::number_unsigned:
      lua_pushinteger(lua, value.get<lua_Integer>());
      break;
    case json::value_t::number_float:
      lua_pushnumber(lua, value.get<double>());
      break;
    case json::value_t::string: {
      const auto& text = value.get_ref<const std::string&>();
      lua_pushlstring(lua, text.data(), text.size());
      break;
    }
    case json::value_t::array:
      lua_createtable(lua, static_cast<int>(value.size()), 0);
      for (std::size_t i = 0; i < value.size(); ++i) {
        PushJson(lua, value[i]);
        lua_rawseti(lua, -2, static_cast<lua_Integer>(i + 1));
      }
      break;
    case json::value_t::object:
      lua_newtable(lua);
      for (const auto& [name, item] : value.items()) {
        lua_pushlstring(lua, name.data(), name.size());
        PushJson(lua, item);
        lua_rawset(lua, -3);
      }
      break;
    default:
      lua_pushnil(lua);
  }
}

json ReadJson(lua_State* lua, int index) {
  index = lua_absindex(lua, index);
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index))
        return lua_tointeger(lua, index);
      return lua_tonumber(lua, index);
    case LUA_TSTRING: {
      std::size_t length = 0;
      const char* text = lua_tolstring(lua, index, &length);
      return std::string(text, length);
    }
    case LUA_TTABLE:
      break;
    default:
      return nullptr;
  }
  const auto length = static_cast<lua_Integer>(lua_rawlen(lua, index));
  lua_getfield(lua, index, "__array");
  const bool is_array = length > 0 || lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
  if (is_array) {
    json list = json::array();
    for (lua_Integer i = 1; i <= length; ++i) {
      lua_rawgeti(lua, index, i);
      list.push_back(ReadJson(lua, -1));
      lua_pop(lua, 1);
    }
    return list;
  }
  json object = json::object();
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    if (lua_type(lua, -2) == LUA_TSTRING)
      object[lua_tostring(lua, -2)] = ReadJson(lua, -1);
    lua_pop(lua, 1);
  }
  return object;
}

}  // namespace cactusward::test
