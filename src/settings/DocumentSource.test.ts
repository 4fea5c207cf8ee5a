import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { DocumentSource } from './DocumentSource.js';

const seed = Number(process.env.FC_SEED ?? 42);

/** Guards against findings with a wrong line or column, at line breaks and in long documents. */
describe('DocumentSource', () => {
  it('returns the line and column of every element', () => {
    const space = fc.string({ unit: fc.constantFrom(' ', '\n', '\r\n', '\t'), maxLength: 4 });
    fc.assert(
      fc.property(fc.array(space, { minLength: 1, maxLength: 30 }), (gaps) => {
        const text = `[${gaps.map((gap, index) => `${gap}${index}`).join(',')}]`;
        const source = new DocumentSource(text, 'f');
        let offset = 1;
        gaps.forEach((gap, index) => {
          offset += gap.length;
          const before = text.slice(0, offset).split('\n');
          const { line, column } = source.locate([index]);
          assert.deepEqual([line, column], [before.length, (before.at(-1)?.length ?? 0) + 1]);
          offset += String(index).length + 1;
        });
      }),
      { seed, numRuns: 200 },
    );
  });
});
