import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { z } from 'zod';
import { describeIssues } from './describeIssues.js';

describe('describeIssues', () => {
  // Guards against log lines of megabytes for one entry with thousands of invalid fields.
  it('names the places of the first issues and counts the others', () => {
    const { error } = z.array(z.number()).safeParse(Array.from({ length: 5_000 }, () => 'x'));
    assert.ok(error !== undefined);
    const text = describeIssues(error);
    assert.match(text, /^0: .*; 1: .*; 2: .*; and 4997 more$/);
    assert.ok(text.length < 300);
  });
});
