#include "document/document.hpp"

#include "document/difference/line_difference.cpp"
#include "document/model/request_classification.cpp"
#include "document/reading/document_reader.cpp"
