#include "src/replica/record_codec.h"

#include "src/base/deflate.h"
#include "src/replica/records_generated.h"

namespace saltquay::replica {
namespace {

constexpr std::size_t initial_bytes = 4096;
constexpr std::int64_t unknown_age = -1;
// Smaller lists are sent as they are: compression would save less than a packet.
constexpr std::size_t min_deflated_bytes = 512;
// Of an inflated list. The records of 100,000 engines take 15 MB.
constexpr std::size_t max_inflated_bytes = 32 * 1024 * 1024;

using Offsets = std::vector<flatbuffers::Offset<wire::Record>>;

flatbuffers::Offset<wire::Record> add(
    flatbuffers::FlatBufferBuilder& builder, gateway::StoredObject const& object, bool gone)
{
    auto const name = builder.CreateString(object.name);
    auto const content = builder.CreateString(gone ? std::string() : object.content);
    auto const defect = object.defect.empty() ? 0 : builder.CreateString(object.defect);
    return wire::CreateRecord(builder, name, object.revision, content, gone, defect);
}

std::string finished_bytes(flatbuffers::FlatBufferBuilder const& builder)
{
    return { reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize() };
}

PackedList pack(flatbuffers::FlatBufferBuilder& builder, Offsets const& records)
{
    builder.Finish(wire::CreateRecordList(builder, builder.CreateVector(records)));
    auto bytes = finished_bytes(builder);
    if (bytes.size() < min_deflated_bytes)
        return { std::move(bytes), 0 };
    return { Deflate(bytes), bytes.size() };
}

absl::Status undecodable()
{
    return absl::UnavailableError("cannot decode a peer's records; check that both nodes run the same version");
}

// A verified response and the bytes of the RecordList in it.
struct DecodedResponse {
    wire::Records const* records = nullptr;
    std::string list;
};

template<typename Table> bool is_valid(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr);
}

absl::StatusOr<DecodedResponse> decode(std::string_view bytes)
{
    if (!is_valid<wire::Records>(bytes))
        return undecodable();
    DecodedResponse response;
    response.records = wire::GetRecords(bytes.data());
    auto const* const packed = response.records->list();
    if (packed == nullptr)
        return undecodable();
    std::string_view const list(reinterpret_cast<char const*>(packed->data()), packed->size());
    auto const inflated_bytes = response.records->list_bytes();
    if (inflated_bytes == 0) {
        response.list = list; // Copied for its alignment.
    } else {
        auto inflated = Inflate(list, inflated_bytes, max_inflated_bytes);
        if (!inflated)
            return undecodable();
        response.list = std::move(*inflated);
    }
    if (!is_valid<wire::RecordList>(response.list))
        return undecodable();
    return response;
}

// Calls `visit` for each record of the response.
template<typename Visit> void for_each_record(DecodedResponse const& response, Visit visit)
{
    auto const* const list = flatbuffers::GetRoot<wire::RecordList>(response.list.data());
    if (list->records() == nullptr)
        return;
    for (auto const* record : *list->records())
        visit(*record);
}

Provenance to_provenance(wire::Records const& records)
{
    Provenance from;
    from.hops = records.hops();
    if (records.age_ms() >= 0)
        from.age = std::chrono::milliseconds(records.age_ms());
    from.hold_time = std::chrono::milliseconds(records.held_ms());
    return from;
}

std::string text(flatbuffers::String const* value) { return value == nullptr ? std::string() : value->str(); }

gateway::StoredObject to_object(wire::Record const& record)
{
    return { text(record.name()), record.revision(), text(record.content()), text(record.defect()) };
}

}

PackedList pack(gateway::ObjectList const& list)
{
    flatbuffers::FlatBufferBuilder builder(initial_bytes);
    Offsets records;
    records.reserve(list.items.size());
    for (auto const& object : list.items)
        records.push_back(add(builder, object, false));
    return pack(builder, records);
}

std::string encode(PackedList const& packed, std::int64_t at, Provenance const& from)
{
    flatbuffers::FlatBufferBuilder builder(packed.bytes.size() + initial_bytes);
    auto const list =
        builder.CreateVector(reinterpret_cast<std::uint8_t const*>(packed.bytes.data()), packed.bytes.size());
    auto const age = from.age ? from.age->count() : unknown_age;
    builder.Finish(wire::CreateRecords(
        builder, at, list, static_cast<std::uint32_t>(packed.inflated_bytes), from.hops, age, from.hold_time.count()));
    return finished_bytes(builder);
}

std::string encode(RelayedList const& relayed) { return encode(pack(relayed.list), relayed.list.at, relayed.from); }

std::string encode(RelayedEvents const& relayed)
{
    flatbuffers::FlatBufferBuilder builder(initial_bytes);
    Offsets records;
    for (auto const& event : relayed.events.events)
        records.push_back(add(builder, event.object, event.gone));
    return encode(pack(builder, records), relayed.events.at, relayed.from);
}

absl::StatusOr<RelayedList> decode_list(std::string_view bytes)
{
    auto const response = decode(bytes);
    if (!response.ok())
        return response.status();
    RelayedList relayed;
    relayed.from = to_provenance(*response->records);
    relayed.list.at = response->records->at();
    for_each_record(*response, [&](wire::Record const& record) { relayed.list.items.push_back(to_object(record)); });
    return relayed;
}

absl::StatusOr<RelayedEvents> decode_events(std::string_view bytes)
{
    auto const response = decode(bytes);
    if (!response.ok())
        return response.status();
    RelayedEvents relayed;
    relayed.from = to_provenance(*response->records);
    relayed.events.at = response->records->at();
    for_each_record(*response, [&](wire::Record const& record) {
        relayed.events.events.push_back({ record.gone(), to_object(record) });
    });
    return relayed;
}

}
