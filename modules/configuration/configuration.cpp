#include "configuration/configuration.hpp"

#include "configuration/editor/document_editor.cpp"
#include "configuration/errors/configuration_error.cpp"
#include "configuration/record/document_record.cpp"
#include "configuration/replica/document_replica.cpp"
