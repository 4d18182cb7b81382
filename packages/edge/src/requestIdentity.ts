/**
 * @fileoverview Identity of a request that a caller sends again: a digest of its
 * route, method, path, caller and body. The id of the attempt is no part of it.
 */
import {createHash} from 'node:crypto';

import {requestSubject} from '@dogwoodtrestle/fleet';

import {type RoutedRequest} from './routedRequest.js';

/** Characters of the digest that are kept: 132 bits. */
const digestCharacters = 22;

/** Returns the subject that names a request in reports and blocks. */
export function subjectOf({
  route,
  request,
  workspace,
  body,
}: Pick<RoutedRequest, 'route' | 'request' | 'workspace' | 'body'>): string {
  const {method, target} = request;
  const head = [route.name, method, target, workspace?.name ?? ''];
  const digest = createHash('sha256')
    .update(JSON.stringify(head))
    .update(body)
    .digest('base64url');
  return requestSubject(digest.slice(0, digestCharacters));
}
