/**
 * @fileoverview Digests that instances compare with each other, and that are
 * stored. Guards against another name or order of properties, which the types
 * don't show: a digest of an earlier build would no longer match.
 */
import {expect, it} from 'vitest';

import {encodeLine} from '../src/grants/journalLine.js';
import {briefDigestOf} from '../src/membership/briefDigest.js';
import {derivePeerKey, signCall} from '../src/peer/peerAuthentication.js';
import {fingerprintOf, keyHashOf} from '../src/requests/requestKey.js';

it('keeps the fingerprint of a request', () => {
  const body = JSON.stringify({model: 'm', messages: []});
  expect(fingerprintOf(['chat', body])).toBe(
    'eBa4G9OKlAmlBpzyMASQIzny8hit89qgKRXssKq0gVY',
  );
  expect(keyHashOf('barley-desk-example-key')).toBe(
    'sha256:cb0fba588db83283b9c62ffaf8182c503a56773c6e71250d5afb275ffae878f6',
  );
});

it('keeps the signature of a call between instances', () => {
  const key = derivePeerKey('shared key');
  const call = {path: '/peer/identity', body: '{}', time: 1_000};
  expect(signCall({cluster: 'barley', instance: 'kamloops-1', key}, call)).toBe(
    'barley;kamloops-1;1000;T3eIEyNuwSAVgPfB1dBMYlF8qqJka3GyDOwlCf4BAJk',
  );
});

it('keeps the digest of known records', () => {
  const versions = {
    b: {incarnation: 2, sequence: 7, leaving: true as const},
    a: {incarnation: 1, sequence: 5},
  };
  expect(briefDigestOf({versions})).toEqual({
    hash: 'hSxxNow3qjwp',
    sequences: [5, 7],
  });
});

it('keeps the line of a journal', () => {
  expect(
    encodeLine({
      kind: 'settled',
      sequence: 1,
      settlement: {cost: 5, outcome: 'completed', attempts: 1, settledAt: 2},
    }),
  ).toBe(
    '2f4a6f14 {"kind":"settled","sequence":1,"settlement":{"cost":5,"outcome":"completed","attempts":1,"settledAt":2}}\n',
  );
});
