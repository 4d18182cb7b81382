/**
 * @fileoverview Counts the values of a text in JSON before it is parsed. A short value
 * takes far more memory than its text, so a limit of bytes alone does not bound what a
 * message takes.
 */

const quote = 0x22;
const backslash = 0x5c;

/** Characters that each value but the first has one of before it. */
const isSeparator = new Uint8Array(256);
for (const character of Buffer.from('[{,:')) isSeparator[character] = 1;

/** Whether a text has more values than a limit; names of fields count as one. */
export function exceedsValues(text: Buffer, maxValues: number): boolean {
  if (text.length <= maxValues) return false;
  let values = 1;
  for (let index = 0; index < text.length; index++) {
    const character = text[index]!;
    if (character === quote) index = endOfString(text, index);
    else if (isSeparator[character] === 1 && ++values > maxValues) return true;
  }
  return values > maxValues;
}

/** Index of the quote that ends a string, or the length of the text. */
function endOfString(text: Buffer, start: number): number {
  let end = start;
  for (;;) {
    end = text.indexOf(quote, end + 1);
    if (end < 0) return text.length;
    let first = end;
    while (text[first - 1] === backslash) first--;
    if ((end - first) % 2 === 0) return end;
  }
}
