#include "src/replica/record_codec.h"

#include "src/replica/records_generated.h"

namespace saltquay::replica {
namespace {

constexpr std::size_t initial_bytes = 4096;
constexpr std::int64_t unknown_age = -1;

flatbuffers::Offset<wire::Record> add(
    flatbuffers::FlatBufferBuilder& builder, gateway::StoredObject const& object, bool gone)
{
    auto const name = builder.CreateString(object.name);
    auto const content = builder.CreateString(gone ? std::string() : object.content);
    return wire::CreateRecord(builder, name, object.revision, content, gone);
}

std::string finish(flatbuffers::FlatBufferBuilder& builder, std::int64_t at, Provenance const& from,
    std::vector<flatbuffers::Offset<wire::Record>> const& records)
{
    auto const age = from.age ? from.age->count() : unknown_age;
    builder.Finish(
        wire::CreateRecords(builder, at, builder.CreateVector(records), from.hops, age, from.hold_time.count()));
    return { reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize() };
}

absl::StatusOr<wire::Records const*> verify(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size());
    if (!wire::VerifyRecordsBuffer(verifier))
        return absl::UnavailableError("cannot decode a peer's records; check that both nodes run the same version");
    return wire::GetRecords(bytes.data());
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
    return { text(record.name()), record.revision(), text(record.content()) };
}

}

std::string encode(RelayedList const& relayed)
{
    flatbuffers::FlatBufferBuilder builder(initial_bytes);
    std::vector<flatbuffers::Offset<wire::Record>> records;
    for (auto const& object : relayed.list.items)
        records.push_back(add(builder, object, false));
    return finish(builder, relayed.list.at, relayed.from, records);
}

std::string encode(RelayedEvents const& relayed)
{
    flatbuffers::FlatBufferBuilder builder(initial_bytes);
    std::vector<flatbuffers::Offset<wire::Record>> records;
    for (auto const& event : relayed.events.events)
        records.push_back(add(builder, event.object, event.gone));
    return finish(builder, relayed.events.at, relayed.from, records);
}

absl::StatusOr<RelayedList> decode_list(std::string_view bytes)
{
    auto const verified = verify(bytes);
    if (!verified.ok())
        return verified.status();
    RelayedList relayed;
    relayed.from = to_provenance(**verified);
    relayed.list.at = (*verified)->at();
    if ((*verified)->records() != nullptr) {
        for (auto const* record : *(*verified)->records())
            relayed.list.items.push_back(to_object(*record));
    }
    return relayed;
}

absl::StatusOr<RelayedEvents> decode_events(std::string_view bytes)
{
    auto const verified = verify(bytes);
    if (!verified.ok())
        return verified.status();
    RelayedEvents relayed;
    relayed.from = to_provenance(**verified);
    relayed.events.at = (*verified)->at();
    if ((*verified)->records() != nullptr) {
        for (auto const* record : *(*verified)->records())
            relayed.events.events.push_back({ record->gone(), to_object(*record) });
    }
    return relayed;
}

}
