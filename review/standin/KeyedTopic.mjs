function decodeKeyed(content) {
  const keyLength = content.readUInt8(0);
  return {
    key: content.subarray(1, 1 + keyLength).toString('utf8'),
    value: content.subarray(1 + keyLength),
  };
}

/** One partition of a keyed topic. */
export class KeyedTopic {
  records = [];

  newest = new Map();

  producers = new Map();

  waiters = new Set();

  append(contents) {
    const offset = this.records.length;
    contents.forEach((content) => {
      const { key, value } = decodeKeyed(content);
      if (value.length === 0) this.newest.delete(key);
      else this.newest.set(key, { key, value, offset: this.records.length });
      this.records.push(content);
    });
    [...this.waiters].forEach((notify) => notify());
    return { offset, end: this.records.length };
  }
}
