import { Topic } from './Topic.mjs';
import { waitForWake } from './waitForWake.mjs';

const MAX_RECORD_BYTES = 262_144;
const MAX_REQUEST_BYTES = 2_097_152;
const MAX_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;
const HEAD_BYTES = 16;

/** Encodes records as the store's calls carry them. */
function encodeRecords(records) {
  return Buffer.concat(
    records.flatMap(({ key, value }) => {
      const name = Buffer.from(key);
      const content = value ?? Buffer.alloc(0);
      const head = Buffer.alloc(5);
      head.writeUInt32BE(1 + name.length + content.length);
      head.writeUInt8(name.length, 4);
      return [head, name, content];
    }),
  );
}

/** Decodes the records of an append. */
function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position + 4 <= body.length) {
    const length = body.readUInt32BE(position);
    const content = body.subarray(position + 4, position + 4 + length);
    const keyLength = content.readUInt8(0);
    const value = content.subarray(1 + keyLength);
    records.push({
      key: content.subarray(1, 1 + keyLength).toString('utf8'),
      value: value.length === 0 ? undefined : Buffer.from(value),
      bytes: length,
    });
    position += 4 + length;
  }
  return records;
}

/** Answer of the store: a status with a JSON object or bytes. */
function answer(status, body = {}) {
  return { status, body };
}

/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: linearizable topics with producers,
 * long reads and the newest record of each key. It does nothing about loss, delay or partitions:
 * those are added by `Platform`.
 */
export class StoreStandin {
  #topics = new Map();

  /** Node that made the accepted claim with each epoch. */
  nodeOfEpoch = new Map();

  /** Appends that were refused since a record or a call was too large. */
  oversized = 0;

  getTopic(name) {
    const known = this.#topics.get(name);
    if (known !== undefined) return known;
    const topic = new Topic();
    this.#topics.set(name, topic);
    return topic;
  }

  /** Writes as the operator or a worker does. */
  write(name, key, value) {
    const text = value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    return this.getTopic(name).append([{ key, value: text }]);
  }

  /** Reads the newest record of a key. */
  find(name, key) {
    const record = this.getTopic(name).records.findLast((one) => one.key === key);
    return record?.value === undefined ? undefined : JSON.parse(record.value.toString('utf8'));
  }

  /** Executes an append of a node. */
  append(node, url, body) {
    const topic = this.getTopic(url.searchParams.get('topic'));
    const records = decodeRecords(body);
    const isTooLarge =
      body.length > MAX_REQUEST_BYTES || records.some(({ bytes }) => bytes > MAX_RECORD_BYTES);
    if (isTooLarge) {
      this.oversized += 1;
      return answer(400, { reason: 'size' });
    }
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== topic.end) return answer(412, { end: topic.end });
    const producer = url.searchParams.get('producer');
    if (producer === null) return answer(200, topic.append(records));
    return this.#appendAsProducer(topic, records, {
      node,
      producer,
      epoch: Number(url.searchParams.get('epoch')),
      seqNo: Number(url.searchParams.get('seqNo')),
    });
  }

  #appendAsProducer(topic, records, { node, producer, epoch, seqNo }) {
    const known = topic.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) return answer(409, { reason: 'fenced' });
    if (known !== undefined && epoch === known.epoch) {
      const before = known.answers.find((one) => one.seqNo === seqNo);
      if (before !== undefined) return answer(200, before.result);
      if (seqNo !== known.seqNo + 1) {
        return answer(409, { reason: 'seq', seqNo: known.seqNo + 1 });
      }
    } else this.nodeOfEpoch.set(epoch, node);
    const result = topic.append(records);
    const answers = known !== undefined && epoch === known.epoch ? known.answers : [];
    topic.producers.set(producer, {
      epoch,
      seqNo,
      answers: [...answers, { seqNo, result }].slice(-5),
    });
    return answer(200, result);
  }

  /** Executes a read, which waits for a record. */
  async read(url) {
    const topic = this.getTopic(url.searchParams.get('topic'));
    const from = Number(url.searchParams.get('from'));
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const maxBytes = Number(url.searchParams.get('maxKb') ?? 1_024) * 1_024;
    if (topic.end <= from && waitMs > 0) {
      await waitForWake(topic.waiters, waitMs);
    }
    const records = [];
    let bytes = 0;
    for (let offset = from; offset < topic.end; offset += 1) {
      const record = topic.records[offset];
      bytes += 5 + record.key.length + (record.value?.length ?? 0);
      if (records.length > 0 && bytes > maxBytes) break;
      records.push(record);
    }
    const head = Buffer.alloc(HEAD_BYTES);
    head.writeBigUInt64BE(BigInt(topic.end));
    return answer(200, Buffer.concat([head, encodeRecords(records)]));
  }

  /** Reads a page of the newest record of each key. */
  readNewest(url) {
    const topic = this.getTopic(url.searchParams.get('topic'));
    const after = url.searchParams.get('after');
    const newest = new Map(topic.records.map((record) => [record.key, record]));
    const keys = [...newest.keys()]
      .filter((key) => newest.get(key).value !== undefined && (after === null || key > after))
      .sort();
    const items = [];
    let bytes = 0;
    while (items.length < Math.min(keys.length, MAX_ITEMS) && bytes < MAX_PAGE_BYTES) {
      const { key, value, offset } = newest.get(keys[items.length]);
      bytes += value.length;
      items.push({ key, value: value.toString('base64'), offset });
    }
    return answer(200, { items, more: items.length < keys.length, end: topic.end });
  }
}
