// Endpoints of the platform speak HTTP/1.1, so undici needs nothing of HTTP/2.
module.exports = {constants: {}};
