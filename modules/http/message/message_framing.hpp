#ifndef HIBISCUSFERRY_HTTP_MESSAGE_MESSAGE_FRAMING_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_MESSAGE_FRAMING_HPP

#include "http/server/beast_support.hpp"

// Where the body of a received message ends; not public.

namespace hibiscusferry
{

/** Checks that the head of a message states the length of its body beyond doubt
    (RFC 9112, sections 6.1 to 6.3): one Content-Length of digits, or the
    transfer coding "chunked" alone, or neither field.

    To be called when the head is complete, and before any byte after it is
    read as a body or as the next message. Stricter than the RFC, which allows
    equal lengths to be repeated.

    @param version  10 for HTTP/1.0, 11 for HTTP/1.1
    @returns http_error::unknown_length if the fields contradict each other, are
             malformed, or if "chunked" is not the last coding;
             http_error::unknown_coding if "chunked" follows another coding
*/
result<void> check_framing(unsigned version, const beast_http::fields& fields);

/** Checks whether the head of a response, interim ones included, is an answer
    to a request: its status is of a class that exists (RFC 9110, section 15),
    it does not switch to another protocol, for which no request asks, and the
    length of its body is certain.

    @returns http_error::unknown_status, or an error of check_framing()
*/
result<void> check_response_head(const beast_http::response_header<>& head);

} // namespace hibiscusferry

#endif
