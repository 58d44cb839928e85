#ifndef HIBISCUSFERRY_FOUNDATION_RESULT_RESULT_HPP
#define HIBISCUSFERRY_FOUNDATION_RESULT_RESULT_HPP

#include <boost/outcome/std_result.hpp>
#include <string>
#include <system_error>

namespace hibiscusferry
{

/** A value, or the std::error_code that explains why there is none.

    Functions that can fail for external reasons, such as I/O or invalid input,
    return a result. Exceptions do not cross a public interface.
*/
template <class Value>
using result = boost::outcome_v2::std_result<Value>;

/** Shortens the qualified names of `success()` and `failure(code)`. */
namespace outcome = boost::outcome_v2;

} // namespace hibiscusferry

#endif
