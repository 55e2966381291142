const process = require('node:process');

const load = () => process.getBuiltinModule('node:http');

// The HTTP module cannot be loaded while a startup snapshot is built, so it is loaded when it is first used.
module.exports = {
	get createServer() {
		return load().createServer;
	},
	// Largest response head that undici accepts, in bytes; the default of Node.js.
	maxHeaderSize: 16_384,
	// Undici only asks whether a body is one.
	IncomingMessage: {
		[Symbol.hasInstance]: value => value instanceof load().IncomingMessage,
	},
};
