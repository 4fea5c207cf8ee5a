import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isSocketAddress } from './isSocketAddress.js';

describe('isSocketAddress', () => {
  it('accepts addresses to which a connection can be opened', () => {
    ['10.1.0.9:8080', '127.0.0.1:1', '127.0.0.1:65535', '[::1]:80'].forEach((text) =>
      assert.ok(isSocketAddress(text), text),
    );
  });

  // Guards against entries of other writers that make every call to the host throw.
  it('rejects other texts', () => {
    const texts = ['127.0.0.1:99999', '127.0.0.1:-5', '127.0.0.1:0', '127.0.0.1: 80', '127.0.0.1'];
    [...texts, '', ':80', 'host:80', '::1:80', '127.0.0.1:80/x', '127.0.0.1:8e1'].forEach((text) =>
      assert.ok(!isSocketAddress(text), text),
    );
  });
});
