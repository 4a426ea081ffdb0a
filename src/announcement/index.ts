/** Public surface of announcements: what a node believes of the server beside it. */
export {
	announcementVerdicts,
	endRecord,
	judgeAnnouncement,
	serverStates,
	type AnnouncementVerdict,
	type ServerAnnouncement,
	type ServerPlace,
	type ServerRecord,
	type ServerState,
} from './server-record.js';
