/** One partition of a topic: records with offsets, the newest one of each key, and its writers. */
export class Log {
  constructor() {
    this.records = [];
    this.newest = new Map();
    this.writers = new Map();
    this.waiting = new Set();
  }

  get end() {
    return this.records.length;
  }

  append(records) {
    const offset = this.end;
    records.forEach(({ key, value, raw }) => {
      const record = { key, value, raw, offset: this.end };
      this.records.push(record);
      if (value.length === 0) this.newest.delete(key);
      else this.newest.set(key, record);
    });
    [...this.waiting].forEach((wake) => wake());
    return offset;
  }
}
