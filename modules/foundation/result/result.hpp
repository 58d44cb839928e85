#ifndef HIBISCUSFERRY_FOUNDATION_RESULT_RESULT_HPP
#define HIBISCUSFERRY_FOUNDATION_RESULT_RESULT_HPP

#include <boost/outcome/std_result.hpp>
#include <string>
#include <system_error>

namespace hibiscusferry
{

/** A value, or the std::error_code that says why there is none.

    Every function whose failure is the outside world's doing returns one of
    these; exceptions do not cross a public interface.
*/
template <class Value>
using result = boost::outcome_v2::std_result<Value>;

/** Makes the `success()` and `failure(code)` helpers short to name. */
namespace outcome = boost::outcome_v2;

} // namespace hibiscusferry

#endif
