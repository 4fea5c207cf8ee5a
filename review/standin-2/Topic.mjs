/** Records of a keyed topic of the platform's store; offsets have no gaps. */
export class Topic {
  records = [];

  producers = new Map();

  waiters = new Set();

  get end() {
    return this.records.length;
  }

  append(entries) {
    const offset = this.end;
    entries.forEach(({ key, value }, index) => {
      this.records.push({ offset: offset + index, key, value });
    });
    [...this.waiters].forEach((wake) => wake());
    return { offset, end: this.end };
  }
}
