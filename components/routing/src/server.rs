//! Choice of the backend server for one request, among the servers of one service in the domain.
