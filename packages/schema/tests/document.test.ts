import {describe, expect, it} from 'vitest';

import {readDocument} from '../src/index.js';

const valid = `cluster: {name: desk, keyFile: key}
instance: {name: r1, failureDomain: kamloops-1, address: 127.0.0.1}
`;

const invalidCases = [
  {
    name: 'an unknown field with a near match',
    text: valid + 'listeners:\n  callerPrt: 1\n',
    expected: ["4:3 unknown field 'callerPrt' did you mean 'callerPort'?"],
  },
  {
    name: 'several findings at once',
    text: 'cluster: {name: desk}\ninstance: {name: R1, failureDomain: a, address: x}\n',
    expected: [
      "1:1 missing field 'keyFile'",
      '2:12 must match pattern "^[a-z0-9][a-z0-9-]*$"',
    ],
  },
  {
    name: 'broken YAML',
    text: 'cluster: {name: desk\n',
    expected: [expect.stringMatching(/^2:1 /)],
  },
];

describe('readDocument', () => {
  it('fills in the defaults', () => {
    const result = readDocument('Settings', valid, 'settings.yaml');
    expect(result).toMatchObject({
      value: {listeners: {callerPort: 8080}, log: {level: 'info'}},
    });
  });

  it.each(invalidCases)('reports $name', ({text, expected}) => {
    const result = readDocument('Settings', text, 'settings.yaml');
    const findings = 'findings' in result ? result.findings : [];
    expect(
      findings.map(({line, column, message, hint}) =>
        `${line}:${column} ${message} ${hint ?? ''}`.trim(),
      ),
    ).toEqual(expected);
  });
});
