/** @fileoverview Instances and backend servers known to this instance. */
export {
  createAnnouncementRoutes,
  type AnnouncementRoutesOptions,
} from './announcementRoutes.js';
export {
  Membership,
  type MembershipOptions,
  ownPeerAddress,
} from './membership.js';
