import http from 'node:http';
import { KeyedTopic } from './KeyedTopic.mjs';

const LENGTH_BYTES = 4;
const READ_HEADER_BYTES = 16;
/** Most records and bytes in one page of newest records. */
const PAGE_RECORDS = 500;
const PAGE_BYTES = 1_000_000;

/** Reads the whole body of a request. */
export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Sends a JSON answer. */
export function sendJson(response, status, body = {}) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

function splitRecords(body) {
  const records = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const length = body.readUInt32BE(position);
    position += LENGTH_BYTES;
    records.push(body.subarray(position, position + length));
    position += length;
  }
  return records;
}

function encodeKeyed(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
}

/**
 * Stand-in for the platform's store: keyed topics with one partition, as PROTOCOL.md describes them,
 * with the limits of the settings on the size of a record and of a call.
 */
export class StandinStore {
  #topics = new Map();

  #servers = [];

  #connections = new Set();

  #limits;

  #record;

  #isDown = false;

  refusedAppends = 0;

  constructor({ limits, record }) {
    this.#limits = limits;
    this.#record = record;
  }

  /** Sets whether the store is down: it then answers every call with 503 and does nothing. */
  setDown(isDown) {
    this.#isDown = isDown;
  }

  /** Appends a record of the operator or of a worker. */
  write(topic, key, value) {
    this.#findTopic(topic).append([encodeKeyed(key, JSON.stringify(value))]);
  }

  /** Drops a key, as a worker that leaves does. */
  remove(topic, key) {
    this.#findTopic(topic).append([encodeKeyed(key, '')]);
  }

  /** Reads the newest value of a key. */
  readNewest(topic, key) {
    const found = this.#findTopic(topic).newest.get(key);
    return found === undefined ? undefined : JSON.parse(found.value.toString('utf8'));
  }

  async open(host) {
    const server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    server.on('connection', (socket) => {
      this.#connections.add(socket);
      socket.once('close', () => this.#connections.delete(socket));
    });
    this.#servers.push(server);
    await new Promise((resolve) => {
      server.listen(0, host, resolve);
    });
    return `${host}:${server.address().port}`;
  }

  close() {
    this.#servers.forEach((server) => server.close());
    this.#connections.forEach((socket) => socket.destroy());
  }

  #findTopic(name) {
    if (!this.#topics.has(name)) this.#topics.set(name, new KeyedTopic());
    return this.#topics.get(name);
  }

  async #serve(request, response) {
    const body = await readBody(request);
    if (this.#isDown) {
      sendJson(response, 503);
      return;
    }
    const url = new URL(request.url, 'http://store');
    const topic = this.#findTopic(url.searchParams.get('topic'));
    switch (url.pathname) {
      case '/buckthornreach/log-append':
        await new Promise((resolve) => {
          setTimeout(resolve, 4);
        });
        if (this.#isDown) sendJson(response, 503);
        else this.#append(url, topic, { body, response });
        break;
      case '/buckthornreach/log-read':
        await this.#read(url, topic, response);
        break;
      case '/buckthornreach/log-newest':
        StandinStore.#listNewest(url, topic, response);
        break;
      default:
        sendJson(response, 404);
    }
  }

  #append(url, topic, { body, response }) {
    const contents = splitRecords(body);
    const largest = Math.max(0, ...contents.map(({ length }) => length));
    const total = contents.reduce((sum, { length }) => sum + length, 0);
    if (largest > this.#limits.recordBytes || total > this.#limits.requestBytes) {
      this.refusedAppends += 1;
      if (this.refusedAppends <= 3)
        this.#record(`store refuses an append: largest record ${largest} bytes, call ${total}`);
      sendJson(response, 400, { reason: 'size' });
      return;
    }
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== topic.records.length) {
      sendJson(response, 412, { end: topic.records.length });
      return;
    }
    const name = url.searchParams.get('producer');
    if (name === null) {
      sendJson(response, 200, topic.append(contents));
      return;
    }
    const epoch = Number(url.searchParams.get('epoch'));
    const seqNo = Number(url.searchParams.get('seqNo'));
    const known = topic.producers.get(name);
    if (known !== undefined && epoch < known.epoch) {
      sendJson(response, 409, { reason: 'fenced' });
      return;
    }
    if (known !== undefined && epoch === known.epoch) {
      const repeated = known.answers.find((one) => one.seqNo === seqNo);
      if (repeated !== undefined) {
        sendJson(response, 200, repeated.answer);
        return;
      }
      if (seqNo !== known.seqNo + 1) {
        sendJson(response, 409, { reason: 'seq', seqNo: known.seqNo + 1 });
        return;
      }
    }
    const answer = topic.append(contents);
    const answers = known !== undefined && known.epoch === epoch ? known.answers : [];
    topic.producers.set(name, {
      epoch,
      seqNo,
      answers: [...answers, { seqNo, answer }].slice(-5),
    });
    sendJson(response, 200, answer);
  }

  async #read(url, topic, response) {
    const from = Number(url.searchParams.get('from'));
    const maxBytes = Number(url.searchParams.get('maxKb') ?? 1_024) * 1_024;
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    if (from >= topic.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          topic.waiters.delete(finish);
          resolve();
        };
        topic.waiters.add(finish);
        setTimeout(finish, waitMs);
      });
    }
    if (this.#isDown) {
      sendJson(response, 503);
      return;
    }
    const head = Buffer.alloc(READ_HEADER_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    const parts = [head];
    let bytes = 0;
    for (let offset = from; offset < topic.records.length; offset += 1) {
      const content = topic.records[offset];
      bytes += LENGTH_BYTES + content.length;
      if (bytes > maxBytes && parts.length > 1) break;
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat(parts));
  }

  static #listNewest(url, topic, response) {
    const after = url.searchParams.get('after') ?? '';
    const sorted = [...topic.newest.values()]
      .filter(({ key }) => key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const { key, value, offset } of sorted) {
      bytes += value.length;
      if (items.length === PAGE_RECORDS || (bytes > PAGE_BYTES && items.length > 0)) break;
      items.push({ key, value: value.toString('base64'), offset });
    }
    sendJson(response, 200, {
      items,
      more: items.length < sorted.length,
      end: topic.records.length,
    });
  }
}
